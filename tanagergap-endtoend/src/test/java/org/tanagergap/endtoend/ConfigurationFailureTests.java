package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against configurations that are lost, applied twice, misreported or rolled back when
 * submissions run concurrently, the key-value service loses replies or is unavailable, or an entry
 * is frozen or restarted.
 */
// The tests share one running system, so their order is fixed.
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class ConfigurationFailureTests {

    private static final List<String> PROCESSES =
            List.of("entry-1", "entry-2", "agent-a", "agent-b", "agent-c", "agent-orders");

    /**
     * Time within which a version is in effect in every process: invariant 8 of the design page.
     */
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(4);

    private static final int EXIT_REJECTED = 1;
    private static final int EXIT_CONFLICT = 3;

    private final RunningSystem mSystem;

    /** Highest version that each process has reported; the test fails if a later one is lower. */
    private final Map<String, Long> mHighestVersions = new HashMap<>();

    ConfigurationFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    @Order(1)
    void oneOfSeveralConcurrentSubmissionsIsAcceptedAndIsInEffectEverywhere() throws Exception {
        for (int round = 0; round < 2; round++) {
            long base = highestVersion();
            List<ProgramProcess> submissions = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                submissions.add(submit(base, 2 + 3 * round + i));
            }
            Waiting.until(
                    "a process shows a submitted version, with the start of the submission",
                    Duration.ofSeconds(30),
                    () -> highestVersion() > base);
            awaitInEffect("the version is in effect in every process", base + 1);
            int accepted = 0;
            int conflicts = 0;
            for (ProgramProcess submission : submissions) {
                int status = submission.waitFor(30).orElseThrow();
                accepted += status == 0 ? 1 : 0;
                conflicts += status == EXIT_CONFLICT ? 1 : 0;
            }
            assertThat(accepted).isEqualTo(1);
            assertThat(conflicts).isEqualTo(2);
            assertThat(highestVersion()).isEqualTo(base + 1);
        }
    }

    /**
     * Loses the reply to each write of a submission in turn. The exit status must agree with what
     * the key-value service has stored.
     */
    @Test
    @Order(4)
    void aSubmissionWithALostReplyReportsItsActualOutcome() throws Exception {
        for (int kept = 0; kept < 2; kept++) {
            long base = highestVersion();
            JsonObject before = mSystem.readJson("key-value", "/counts");
            mSystem.setFaults(
                    "key-value", "{\"lose_replies\":1,\"keep_replies\":%d}".formatted(kept));

            int status = submit(base, 17 + kept).waitFor(30).orElseThrow();

            JsonObject after = mSystem.readJson("key-value", "/counts");
            long writes = after.getLong("writes") - before.getLong("writes");
            System.out.printf("measured: submission, lost reply: %d writes%n", writes);
            // The submission and the resolution of its outcome each write a lease and a
            // transaction.
            assertThat(writes).isAtMost(4);
            // The first write is the lease, without the configuration; the second is the
            // transaction.
            assertThat(status).isEqualTo(kept == 0 ? EXIT_REJECTED : 0);
            awaitInEffect("a submission with a lost reply is in effect", base + kept);
            assertThat(highestVersion()).isEqualTo(base + kept);
        }
    }

    /** The entries would ignore the versions that the key-value service gives out again. */
    @Test
    @Order(5)
    void aConfigurationThatARestoredKeyValueServiceLacksIsStoredAgainAndTheNextOneFollows()
            throws Exception {
        long base = highestVersion();
        mSystem.setFaults("key-value", "{\"backup\":true}");
        assertThat(submit(base, 29).waitFor(30)).hasValue(0);
        awaitInEffect("the version that will be lost is in effect", base + 1);
        mSystem.setFaults("key-value", "{\"restore\":true}");
        // An entry notices within 2 s and writes the configuration within another 2 s.
        TimeUnit.SECONDS.sleep(5);

        assertThat(submit(base + 1, 31).waitFor(30)).hasValue(0);

        awaitInEffect("the version after the lost one is in effect", base + 2);
    }

    @Test
    @Order(3)
    void anEntryThatStartsDuringAnOutageLoadsTheVersionOfItsPeer() throws Exception {
        long version = highestVersion();
        mSystem.setFaults("key-value", "{\"outage\":true}");
        mSystem.process("entry-1").kill();
        mHighestVersions.remove("entry-1");
        mSystem.restart("entry-1");

        mSystem.awaitOk("entry-1-admin", "/readyz");

        awaitInEffect("an entry started in an outage has the version", version);
        assertThat(mSystem.send(mSystem.completion(1, "outage", 3)).statusCode()).isEqualTo(200);
    }

    @Test
    @Order(2)
    void statusReportsAFrozenEntryAndVersionsNeverDecrease() throws Exception {
        long base = highestVersion();
        mSystem.process("entry-2").freeze();
        try {
            assertThat(submit(base, 23).waitFor(30)).hasValue(0);
            ProgramProcess status =
                    mSystem.startCtl(
                            "status",
                            "--key-value",
                            mSystem.address("key-value"),
                            "--processes",
                            mSystem.processAddresses());

            assertThat(status.waitFor(30)).hasValue(1);
            String report = status.output();
            assertThat(report).containsMatch("frozen +" + mSystem.address("entry-2-admin"));
            assertThat(report)
                    .containsMatch("in_effect +" + mSystem.address("entry-1-admin") + " entry-1 ");
        } finally {
            mSystem.process("entry-2").resume();
        }
        awaitInEffect("a resumed entry has the version that it missed", base + 1);
    }

    private ProgramProcess submit(long base, int weight) throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(
                file,
                mSystem.configurationDocument()
                        .replaceFirst("\"weight\": 1,", "\"weight\": " + weight + ","));
        return mSystem.startCtl(
                "submit",
                "--key-value",
                mSystem.address("key-value"),
                "--base-version",
                Long.toString(base),
                file.toString());
    }

    private void awaitInEffect(String what, long version) throws Exception {
        Waiting.until(
                what,
                PROPAGATION_LIMIT,
                () -> PROCESSES.stream().allMatch(process -> version(process) >= version));
    }

    private long highestVersion() {
        return PROCESSES.stream().mapToLong(this::version).max().orElseThrow();
    }

    private long version(String process) {
        try {
            long version =
                    mSystem.readJson(process + "-admin", "/status")
                            .getLong("configuration_version");
            long earlier = mHighestVersions.getOrDefault(process, 0L);
            assertWithMessage("configuration version of " + process)
                    .that(version)
                    .isAtLeast(earlier);
            mHighestVersions.put(process, version);
            return version;
        } catch (Exception e) {
            throw new IllegalStateException(
                    "could not read the configuration version of " + process, e);
        }
    }
}
