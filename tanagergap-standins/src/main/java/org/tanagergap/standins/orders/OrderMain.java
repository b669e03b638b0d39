package org.tanagergap.standins.orders;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;

/** Stand-in for a plain service that takes orders. */
@Command(name = OrderMain.PROGRAM, description = "Stand-in for a plain order service")
public final class OrderMain extends ProgramCommand {

    static final String PROGRAM = "standin-orders";

    @Option(name = "--listen", title = "host:port", description = "Address of the service")
    String mListen;

    private HostPort mAddress;

    public static void main(String[] args) {
        ProgramRunner.run(OrderMain.class, args);
    }

    @Override
    protected String programName() {
        return PROGRAM;
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        mAddress = reader.address("--listen", mListen, null);
    }

    @Override
    protected Service createService(ProgramContext context) {
        return new OrderServer(context.vertx(), context.clock(), mAddress);
    }
}
