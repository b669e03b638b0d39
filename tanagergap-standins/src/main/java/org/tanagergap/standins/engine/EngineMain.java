package org.tanagergap.standins.engine;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;

/** Stand-in for a model engine. */
@Command(name = EngineMain.PROGRAM, description = "Stand-in for a model engine")
public final class EngineMain extends ProgramCommand {

    static final String PROGRAM = "standin-engine";

    private static final long MAX_TOKENS = 100_000_000;

    @Option(name = "--listen", title = "host:port", description = "Address of the engine")
    String mListen;

    @Option(name = "--model", title = "name", description = "Model that is loaded")
    String mModel;

    @Option(name = "--memory-tokens", title = "n", description = "Memory for KV cache, in tokens")
    String mMemoryTokens;

    @Option(
            name = "--prefill-tokens-per-second",
            title = "n",
            description = "Speed of prefill, in tokens per second")
    String mPrefillRate;

    @Option(
            name = "--load-lag-ms",
            title = "ms",
            description = "Age that a load report reaches before it is renewed")
    String mLoadLag;

    @Option(name = "--cache-event-delay-ms", title = "ms", description = "Delay of cache events")
    String mCacheEventDelay;

    @Option(
            name = "--drop-every-event",
            title = "n",
            description = "Every n-th cache event is lost; 0 for none")
    String mDropEveryEvent;

    @Option(
            name = "--check-fencing",
            description = "Refuses administrative orders with an old fencing number")
    boolean mCheckFencing;

    private HostPort mAddress;
    private EngineSettings mSettings;
    private EngineServerSettings mServerSettings;

    public static void main(String[] args) {
        ProgramRunner.run(EngineMain.class, args);
    }

    @Override
    protected String programName() {
        return PROGRAM;
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        long maxTokens = MAX_TOKENS;
        mAddress = reader.address("--listen", mListen, null);
        String model = reader.text("--model", mModel, "m1");
        long memory = reader.number("--memory-tokens", mMemoryTokens, "400000", 1, maxTokens);
        long rate =
                reader.number("--prefill-tokens-per-second", mPrefillRate, "20000", 1, maxTokens);
        mSettings = EngineSettings.of(model, memory).withPrefillTokensPerSecond(rate);
        Duration lag = reader.millis("--load-lag-ms", mLoadLag, "1000", 1, 60_000);
        Duration delay =
                reader.millis("--cache-event-delay-ms", mCacheEventDelay, "500", 1, 60_000);
        long drop = reader.number("--drop-every-event", mDropEveryEvent, "20", 0, 1_000_000);
        mServerSettings = new EngineServerSettings(model, lag, delay, (int) drop, mCheckFencing);
    }

    @Override
    protected Service createService(ProgramContext context) {
        return new EngineServer(
                context.vertx(), context.clock(), mAddress, mSettings, mServerSettings);
    }
}
