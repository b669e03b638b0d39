package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.status.ProcessState;
import org.tanagergap.runtime.status.ProcessStatus;
import org.tanagergap.runtime.status.ProcessStatusClient;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Reports which processes have a configuration version in effect. */
@Command(
        name = "status",
        description = "Asks the processes which version is in effect and names those behind")
public final class StatusCommand extends CtlCommand {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    /** A new version must be in effect in every process within 4 s; the rest covers slow polls. */
    private static final String DEFAULT_TIMEOUT_MS = "10000";

    private static final long MAX_TIMEOUT_MS = 3_600_000;

    @Option(
            name = "--processes",
            title = "host:port,...",
            description = "Admin addresses of entries and agents (TANAGERGAP_PROCESSES)")
    String mProcesses;

    @Option(
            name = "--wait",
            title = "version",
            description = "Waits until this version is in effect in every process")
    String mWait;

    @Option(
            name = "--timeout-ms",
            title = "ms",
            description = "Longest wait (TANAGERGAP_TIMEOUT_MS, default 10000)")
    String mTimeoutMs;

    @Override
    int execute() {
        List<HostPort> addresses = reader().addresses("--processes", mProcesses);
        if (addresses.isEmpty() && reader().findings().isEmpty()) {
            reader().reject("--processes", "is required; expected host:port,...");
        }
        Duration timeout =
                reader().millis("--timeout-ms", mTimeoutMs, DEFAULT_TIMEOUT_MS, 1, MAX_TIMEOUT_MS);
        Optional<Long> awaitedVersion =
                reader().optionalText("--wait", mWait)
                        .map(text -> reader().number("--wait", text, null, 1, Long.MAX_VALUE));
        if (awaitedVersion.isEmpty() && !hasKeyValue()) {
            reader().reject(
                            "--key-value",
                            "is required without --wait, to know the accepted version");
        }
        reader().findings().throwIfAny();
        long target = awaitedVersion.orElseGet(this::acceptedVersion);
        List<ProcessStatus> statuses = poll(addresses, target, awaitedVersion.isPresent(), timeout);
        print(json(target, statuses), text(target, statuses));
        return allInEffect(target, statuses) ? CtlExitStatus.DONE : CtlExitStatus.FAILED;
    }

    private long acceptedVersion() {
        return await(store().read(), "reading the accepted version")
                .map(StoredConfiguration::version)
                .orElse(0L);
    }

    private List<ProcessStatus> poll(
            List<HostPort> addresses, long target, boolean untilInEffect, Duration timeout) {
        Deadline deadline = Deadline.after(context().clock(), timeout);
        Duration responseTimeout =
                timeout.compareTo(RESPONSE_TIMEOUT) < 0 ? timeout : RESPONSE_TIMEOUT;
        ProcessStatusClient client = new ProcessStatusClient(context().vertx(), responseTimeout);
        while (true) {
            List<ProcessStatus> statuses = await(client.read(addresses), "asking the processes");
            if (!untilInEffect
                    || allInEffect(target, statuses)
                    || deadline.remaining(context().clock()).compareTo(POLL_INTERVAL) < 0) {
                return statuses;
            }
            CompletableFuture<Void> pause = new CompletableFuture<>();
            context().clock().schedule(POLL_INTERVAL, () -> pause.complete(null));
            await(pause, "waiting");
        }
    }

    private static boolean allInEffect(long target, List<ProcessStatus> statuses) {
        return statuses.stream().allMatch(s -> s.state(target) == ProcessState.IN_EFFECT);
    }

    private static JsonObject json(long target, List<ProcessStatus> statuses) {
        JsonArray processes = new JsonArray();
        for (ProcessStatus status : statuses) {
            JsonObject process = status.json(target);
            if (!status.detail().isEmpty()) {
                process.put("detail", status.detail());
            }
            processes.add(process);
        }
        return new JsonObject()
                .put("version", target)
                .put("in_effect", allInEffect(target, statuses))
                .put("processes", processes);
    }

    private static String text(long target, List<ProcessStatus> statuses) {
        long behind =
                statuses.stream().filter(s -> s.state(target) != ProcessState.IN_EFFECT).count();
        String heading =
                String.format(
                        "version %d is in effect in %d of %d processes",
                        target, statuses.size() - behind, statuses.size());
        return statuses.stream()
                        .map(status -> line(target, status))
                        .collect(Collectors.joining(System.lineSeparator()))
                + System.lineSeparator()
                + heading;
    }

    private static String line(long target, ProcessStatus status) {
        String version =
                status.version().isPresent()
                        ? "version " + status.version().getAsLong()
                        : status.detail();
        return String.format(
                "%-12s %s %s %s",
                status.stateName(target), status.address(), status.name(), version);
    }
}
