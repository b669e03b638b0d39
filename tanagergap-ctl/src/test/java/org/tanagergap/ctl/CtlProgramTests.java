package org.tanagergap.ctl;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** Guards against wrong exit statuses and output, on which scripts of operators depend. */
class CtlProgramTests {

    private static final String LOCAL = "../examples/local.json";

    @TempDir Path mDirectory;
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final FakeConfigurationStore mStore = new FakeConfigurationStore();
    private Vertx mVertx;

    @BeforeEach
    void openVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterEach
    void closeVertx() {
        mVertx.close().await();
    }

    private int run(String... args) {
        return run(Map.of("TANAGERGAP_KEY_VALUE", "127.0.0.1:1"), args);
    }

    private int run(Map<String, String> environment, String... args) {
        mOut.reset();
        mErr.reset();
        return CtlProgram.run(
                new CtlContext(
                        environment,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        mVertx,
                        new VertxRuntimeClock(mVertx),
                        address -> mStore),
                args);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    private String editedLocal() throws IOException {
        Path file = mDirectory.resolve("edited.json");
        Files.writeString(
                file, Files.readString(Path.of(LOCAL)).replace("\"weight\": 1", "\"weight\": 3"));
        return file.toString();
    }

    @Nested
    class Arguments {

        @Test
        void areDescribedByHelpAndVersion() {
            assertThat(run("--help")).isEqualTo(CtlExitStatus.DONE);
            assertThat(out()).contains("hash-key");
            assertThat(out()).contains("4 unresolved");
            assertThat(run("help", "submit")).isEqualTo(CtlExitStatus.DONE);
            assertThat(out()).contains("--base-version");
            assertThat(run("--version")).isEqualTo(CtlExitStatus.DONE);
            assertThat(out()).startsWith("tanagergap-ctl ");
            assertThat(run("submit", "--version")).isEqualTo(CtlExitStatus.DONE);
        }

        @Test
        void thatAreInvalidGiveStatusTwo() {
            assertThat(run("no-such-command")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(err()).contains("no-such-command");
            assertThat(run("show", "--no-such-flag")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(run("validate")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(run("show", "--output", "xml")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(run("hash-key", "a.b")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(run("outcome")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(run("submit", LOCAL, "--base-version", "x"))
                    .isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(mStore.mLastNonce).isNull();
            assertThat(run(Map.of(), "show")).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(err()).contains("TANAGERGAP_KEY_VALUE");
        }
    }

    @Nested
    class Documents {

        @Test
        void areValidatedWithEveryFinding() throws IOException {
            assertThat(run("validate", LOCAL)).isEqualTo(CtlExitStatus.DONE);
            Path broken = mDirectory.resolve("broken.json");
            Files.writeString(broken, "{\"services\": 1,\n \"ranks\": 2}");
            assertThat(run("validate", broken.toString())).isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(err()).contains("/ranks (line 2)");
            assertThat(run("validate", broken.toString(), "--output", "json"))
                    .isEqualTo(CtlExitStatus.INVALID_INPUT);
            assertThat(new JsonObject(out()).getJsonArray("findings").size()).isAtLeast(4);
            assertThat(run("validate", "/no/such/file")).isEqualTo(CtlExitStatus.FAILED);
        }

        @Test
        void areSubmittedOnTheCurrentVersionAndShown() throws IOException {
            mStore.mCurrent = new StoredConfiguration(4, Files.readString(Path.of(LOCAL)));
            assertThat(run("submit", editedLocal(), "--output", "json"))
                    .isEqualTo(CtlExitStatus.DONE);
            assertThat(new JsonObject(out()).getLong("version")).isEqualTo(5);
            assertThat(run("show", "--output", "json")).isEqualTo(CtlExitStatus.DONE);
            assertThat(new JsonObject(out()).getLong("version")).isEqualTo(5);
            assertThat(run("diff", LOCAL)).isEqualTo(CtlExitStatus.DONE);
            assertThat(out()).contains("workspaces[lidmaker-one].weight: 3 -> 1");
        }

        @Test
        void inConflictGiveStatusThreeAndTheDifference() throws IOException {
            mStore.mCurrent = new StoredConfiguration(4, Files.readString(Path.of(LOCAL)));
            assertThat(run("submit", editedLocal(), "--base-version", "3"))
                    .isEqualTo(CtlExitStatus.CONFLICT);
            assertThat(out()).contains("version 4 was accepted first");
            assertThat(out()).contains("workspaces[lidmaker-one].weight: 1 -> 3");
            assertThat(mStore.mCurrent.version()).isEqualTo(4);
        }

        /** With another status a script would submit again although the first may take effect. */
        @Test
        void thatAreUnresolvedGiveStatusFourAndTheNonce() {
            mStore.mNextResult = new SubmitResult.Unresolved("nonce-1", "no answer");
            assertThat(run("submit", LOCAL)).isEqualTo(CtlExitStatus.UNRESOLVED);
            assertThat(out()).contains("outcome nonce-1");
            mStore.mNextResult = new SubmitResult.Rejected("abandoned");
            assertThat(run("outcome", "nonce-1")).isEqualTo(CtlExitStatus.FAILED);
            mStore.mNextResult = new SubmitResult.Accepted(9);
            assertThat(run("outcome", "nonce-1")).isEqualTo(CtlExitStatus.DONE);
        }

        @Test
        void haveKeyEntriesThatMatchThePrintedKey() {
            assertThat(run("hash-key", "line-1", "--output", "json")).isEqualTo(CtlExitStatus.DONE);
            JsonObject result = new JsonObject(out());
            JsonObject entry = result.getJsonObject("entry");
            KeyDefinition key =
                    new KeyDefinition(
                            entry.getString("id"),
                            entry.getString("salt"),
                            entry.getString("hash"));
            assertThat(KeyHashing.matches(key, result.getString("key"))).isTrue();
        }
    }

    @Nested
    class Status {

        private final AtomicLong mVersion = new AtomicLong(1);

        private String process() {
            return "127.0.0.1:"
                    + mVertx.createHttpServer()
                            .requestHandler(request -> request.response().end(status()))
                            .listen(0, "127.0.0.1")
                            .await()
                            .actualPort();
        }

        private String status() {
            return new JsonObject()
                    .put("name", "entry-1")
                    .put("program", "entry")
                    .put("configuration_version", mVersion.getAndIncrement())
                    .encode();
        }

        @Test
        void waitsUntilTheVersionIsInEffect() {
            assertThat(run(Map.of(), "status", "--wait", "3", "--processes", process()))
                    .isEqualTo(CtlExitStatus.DONE);
            assertThat(out()).contains("in effect in 1 of 1");
        }

        @Test
        void namesProcessesBehindFrozenAndUnreachable() throws IOException {
            mStore.mCurrent = new StoredConfiguration(2, "{}");
            // The backlog accepts connections but nothing responds, like a stopped process.
            try (ServerSocket frozen = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                    ServerSocket closed = new ServerSocket(0, 5, null)) {
                closed.close();
                String processes =
                        process()
                                + ",127.0.0.1:"
                                + frozen.getLocalPort()
                                + ",127.0.0.1:"
                                + closed.getLocalPort();
                assertThat(run("status", "--processes", processes, "--timeout-ms", "500"))
                        .isEqualTo(CtlExitStatus.FAILED);
            }
            assertThat(out()).contains("behind");
            assertThat(out()).contains("frozen");
            assertThat(out()).contains("unreachable");
        }
    }

    /** Guards against a completion script that omits a command or flag. */
    @Test
    void theCompletionScriptNamesAllCommands() {
        assertThat(run("completion")).isEqualTo(0);
        for (String command : new String[] {"validate", "submit", "status", "explain"}) {
            assertThat(out()).contains(command);
        }
        assertThat(out()).contains("--key-value");
    }
}
