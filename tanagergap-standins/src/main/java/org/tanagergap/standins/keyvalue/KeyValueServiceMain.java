package org.tanagergap.standins.keyvalue;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;

/** Runs the stand-in of the key-value service. */
@Command(name = "tanagergap-key-value", description = "Stand-in of the key-value service")
public final class KeyValueServiceMain extends ProgramCommand {

    private static final long MAX_RATE = 1_000_000;
    private static final long MAX_VALUE_BYTES = 16_000_000;

    @Option(name = "--listen", title = "host:port", description = "Address of the JSON gateway")
    String mListen;

    @Option(
            name = "--reads-per-second",
            title = "number",
            description = "Permitted reads and opened watches per second")
    String mReadsPerSecond;

    @Option(
            name = "--writes-per-second",
            title = "number",
            description = "Permitted writes and lease calls per second")
    String mWritesPerSecond;

    @Option(name = "--max-value-bytes", title = "bytes", description = "Largest value")
    String mMaxValueBytes;

    private HostPort mAddress;
    private KeyValueLimits mLimits;

    /** Starts the process. */
    public static void main(String[] args) {
        ProgramRunner.run(KeyValueServiceMain.class, args);
    }

    @Override
    protected String programName() {
        return "tanagergap-key-value";
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        KeyValueLimits defaults = KeyValueLimits.defaults();
        mAddress = reader.address("--listen", mListen, "127.0.0.1:2379");
        long reads =
                reader.number(
                        "--reads-per-second",
                        mReadsPerSecond,
                        "" + defaults.readsPerSecond(),
                        1,
                        MAX_RATE);
        long writes =
                reader.number(
                        "--writes-per-second",
                        mWritesPerSecond,
                        "" + defaults.writesPerSecond(),
                        1,
                        MAX_RATE);
        long bytes =
                reader.number(
                        "--max-value-bytes",
                        mMaxValueBytes,
                        "" + defaults.maxValueBytes(),
                        1,
                        MAX_VALUE_BYTES);
        mLimits = new KeyValueLimits(reads, writes, (int) bytes);
    }

    @Override
    protected Service createService(ProgramContext context) {
        return new KeyValueServer(context.vertx(), mAddress, mLimits, context.clock());
    }
}
