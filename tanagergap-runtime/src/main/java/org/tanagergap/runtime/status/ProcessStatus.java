package org.tanagergap.runtime.status;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Status of one process, or the reason why it is not available.
 *
 * @param address address of the admin server
 * @param name name of the process; empty if it has never responded
 * @param program name of the program; empty if it has never responded
 * @param version configuration version in effect; present if and only if there is no failure
 * @param failure state that explains why there is no version
 * @param detail explanation of the failure
 */
public record ProcessStatus(
        HostPort address,
        String name,
        String program,
        OptionalLong version,
        Optional<ProcessState> failure,
        String detail) {

    public ProcessStatus {
        Objects.requireNonNull(address, "address must not be null");
    }

    static ProcessStatus failed(HostPort address, ProcessState state, String detail) {
        return new ProcessStatus(address, "", "", OptionalLong.empty(), Optional.of(state), detail);
    }

    /** Copies this status with the name and program of an earlier one. */
    ProcessStatus withNameOf(ProcessStatus earlier) {
        return new ProcessStatus(
                address, earlier.name(), earlier.program(), version, failure, detail);
    }

    /** Returns the state of the process, given the version that should be in effect. */
    public ProcessState state(long target) {
        return failure.orElseGet(
                () -> version.orElse(0) >= target ? ProcessState.IN_EFFECT : ProcessState.BEHIND);
    }

    /** Returns the lower-case name of the state, used in JSON and command-line output. */
    public String stateName(long target) {
        return state(target).name().toLowerCase(Locale.ROOT);
    }

    /** Converts the status to JSON without the detail, which each caller presents differently. */
    public JsonObject json(long target) {
        JsonObject json =
                new JsonObject()
                        .put("address", address.toString())
                        .put("name", name)
                        .put("program", program)
                        .put("state", stateName(target));
        version.ifPresent(v -> json.put("configuration_version", v));
        return json;
    }
}
