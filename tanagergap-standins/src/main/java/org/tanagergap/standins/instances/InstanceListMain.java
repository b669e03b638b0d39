package org.tanagergap.standins.instances;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;

/** Runs the stand-in of the instance list. */
@Command(name = "tanagergap-instances", description = "Stand-in of the instance list")
public final class InstanceListMain extends ProgramCommand {

    private static final long MAX_LAG_MILLIS = 600_000;

    @Option(name = "--listen", title = "host:port", description = "Address of the list")
    String mListen;

    @Option(
            name = "--lag-ms",
            title = "milliseconds",
            description = "Time after which readers see a change")
    String mLagMs;

    private HostPort mAddress;
    private Duration mLag;

    /** Starts the process. */
    public static void main(String[] args) {
        ProgramRunner.run(InstanceListMain.class, args);
    }

    @Override
    protected String programName() {
        return "tanagergap-instances";
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        mAddress = reader.address("--listen", mListen, "127.0.0.1:2380");
        mLag = reader.millis("--lag-ms", mLagMs, "1000", 0, MAX_LAG_MILLIS);
    }

    @Override
    protected Service createService(ProgramContext context) {
        return new InstanceListServer(context.vertx(), mAddress, mLag, context.clock());
    }
}
