package org.tanagergap.ctl;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Guards against input on which a command ends with a stack trace instead of a message. */
class MalformedInputTests {

    private static final String VALID = "../examples/local.json";
    private static final String NESTED = "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000);

    @TempDir Path mDirectory;
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final FakeConfigurationStore mStore = new FakeConfigurationStore();
    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void closeVertx() {
        mVertx.close().await();
    }

    /** Runs a command on a small stack; -1 if it ended with a throwable. */
    private int run(String... args) throws Exception {
        AtomicInteger status = new AtomicInteger(-1);
        CtlContext context =
                new CtlContext(
                        Map.of("TANAGERGAP_KEY_VALUE", "127.0.0.1:1"),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        mVertx,
                        new VertxRuntimeClock(mVertx),
                        address -> mStore);
        Thread thread =
                new Thread(
                        null, () -> status.set(CtlProgram.run(context, args)), "small", 256 << 10);
        thread.start();
        thread.join();
        return status.get();
    }

    private String file(String text) throws IOException {
        Path file = mDirectory.resolve("input");
        Files.writeString(file, text);
        return file.toString();
    }

    private static String text(String input) {
        return input.equals("NESTED") ? NESTED : input;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "{\"ranks\":1e400}", "NESTED"})
    void aMalformedFileCausesFindings(String input) throws Exception {
        String file = file(text(input));
        assertThat(run("validate", file)).isEqualTo(CtlExitStatus.INVALID_INPUT);
        assertThat(run("submit", file)).isEqualTo(CtlExitStatus.INVALID_INPUT);
        assertThat(run("diff", VALID, file)).isAtLeast(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "{\"ranks\":1e400}", "NESTED"})
    void aMalformedStoredDocumentIsShownAndCanBeReplaced(String input) throws Exception {
        mStore.mCurrent = new StoredConfiguration(3, text(input));
        assertThat(run("show")).isEqualTo(CtlExitStatus.DONE);
        assertThat(run("show", "--output", "json")).isAtLeast(0);
        assertThat(run("diff", VALID)).isAtLeast(0);
        assertThat(run("submit", "--base-version", "2", VALID)).isEqualTo(CtlExitStatus.CONFLICT);
        assertThat(run("submit", VALID)).isEqualTo(CtlExitStatus.DONE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"request_id\":\"r1\",\"tried\":[7,null,{}],\"tokens\":\"x\"}",
                "{\"request_id\":\"r1\",\"tried\":[{}],\"tokens\":\"x\",\"workspace\":\"w\"}",
                "{\"request_id\":\"r1\",\"tried\":[{\"agent\":7}],\"tokens\":1e400}",
                "{\"request_id\":\"r1\",\"tried\":[],\"tokens\":{},\"workspace\":\"w\"}",
                "{\"request_id\":\"r1\",\"outcome\":{},\"attempt_id\":[]}",
                "{\"request_id\":\"r1\",\"tried\":[{\"agent\":[]}],\"workspace\":\"w\"}"
            })
    void aMalformedLogLineIsExplainedAsFarAsPossible(String line) throws Exception {
        assertThat(run("explain", "r1", file(line))).isEqualTo(CtlExitStatus.DONE);
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 900, 5_000})
    void aDeeplyNestedLogLineIsIgnored(int depth) throws Exception {
        String nested = "{\"r1\":".repeat(depth) + "1" + "}".repeat(depth);
        assertThat(run("explain", "r1", file(nested))).isEqualTo(CtlExitStatus.FAILED);
    }
}
