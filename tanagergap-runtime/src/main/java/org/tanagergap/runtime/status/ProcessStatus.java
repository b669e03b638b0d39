package org.tanagergap.runtime.status;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Answer of one process, or why there is none.
 *
 * @param address address of the admin server
 * @param name name of the process; empty when it never answered
 * @param program name of the program; empty when it never answered
 * @param version configuration version in effect; present exactly when there is no failure
 * @param failure why there is no version
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

    /** Copy with the name and program of an earlier answer. */
    ProcessStatus withNameOf(ProcessStatus earlier) {
        return new ProcessStatus(
                address, earlier.name(), earlier.program(), version, failure, detail);
    }

    /** State of the process when the given version should be in effect. */
    public ProcessState state(long target) {
        return failure.orElseGet(
                () -> version.orElse(0) >= target ? ProcessState.IN_EFFECT : ProcessState.BEHIND);
    }

    /** Name of the state, as people and programs read it. */
    public String stateName(long target) {
        return state(target).name().toLowerCase(Locale.ROOT);
    }

    /** JSON form without the detail, which readers treat differently. */
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
