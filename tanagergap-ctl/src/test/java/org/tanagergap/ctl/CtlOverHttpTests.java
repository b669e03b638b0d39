package org.tanagergap.ctl;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;

/** Guards against commands that misreport conflicts, lost replies or outages of the store. */
class CtlOverHttpTests {

    private static final String LOCAL = "../examples/local.json";

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private Vertx mVertx;
    private KeyValueServer mServer;

    @BeforeEach
    void startServer() {
        mVertx = Vertx.vertx();
        mServer =
                new KeyValueServer(
                        mVertx,
                        new HostPort("127.0.0.1", 0),
                        KeyValueLimits.defaults(),
                        new VertxRuntimeClock(mVertx));
        mServer.start().join();
    }

    @AfterEach
    void stopServer() {
        mVertx.close().await();
    }

    private int run(String... args) {
        mOut.reset();
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        VertxRuntimeClock clock = new VertxRuntimeClock(mVertx);
        return CtlProgram.run(
                new CtlContext(
                        Map.of("TANAGERGAP_KEY_VALUE", "127.0.0.1:" + mServer.port()),
                        out,
                        out,
                        mVertx,
                        clock,
                        CtlMain.storeOpener(mVertx, clock)),
                args);
    }

    private String text() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private void injectFaults(JsonObject faults) {
        WebClient.create(mVertx)
                .put(mServer.port(), "127.0.0.1", "/faults")
                .sendBuffer(Buffer.buffer(faults.encode()))
                .await();
    }

    @Test
    void submitsShowsAndReportsConflicts() {
        assertThat(run("show")).isEqualTo(CtlExitStatus.FAILED);
        assertThat(run("submit", LOCAL)).isEqualTo(CtlExitStatus.DONE);
        assertThat(run("show")).isEqualTo(CtlExitStatus.DONE);
        assertThat(text()).contains("lidmaker-one");
        assertThat(run("diff", LOCAL)).isEqualTo(CtlExitStatus.DONE);
        assertThat(text()).contains("no difference");
        assertThat(run("submit", LOCAL, "--base-version", "0")).isEqualTo(CtlExitStatus.CONFLICT);
    }

    /** The first write only grants a lease; if its reply is lost, nothing may be accepted. */
    @Test
    void reportsASubmissionThatCannotTakeEffectAsRejected() {
        assertThat(run("submit", LOCAL)).isEqualTo(CtlExitStatus.DONE);
        injectFaults(new JsonObject().put("lose_replies", 1));
        assertThat(run("submit", LOCAL)).isEqualTo(CtlExitStatus.FAILED);
        assertThat(text()).contains("rejected");
        assertThat(run("show")).isEqualTo(CtlExitStatus.DONE);
        assertThat(text()).contains("version 1");
    }

    @Test
    void rejectsANonceWithASlash() {
        assertThat(run("outcome", "a/b")).isEqualTo(CtlExitStatus.INVALID_INPUT);
    }

    @Test
    void reportsAnOutageBeforeTheSubmissionAsFailedAndALaterOneAsUnresolved() {
        injectFaults(new JsonObject().put("outage", true));
        assertThat(run("submit", LOCAL)).isEqualTo(CtlExitStatus.FAILED);
        assertThat(run("outcome", "nonce-1")).isEqualTo(CtlExitStatus.UNRESOLVED);
    }
}
