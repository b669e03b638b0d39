package org.tanagergap.console;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.runtime.tls.TlsFlags;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;

/** Reads the settings of the console and creates its service. */
@Command(
        name = "tanagergap-console",
        description = "Serves forms in which operators edit the configuration document")
public final class ConsoleCommand extends ProgramCommand {

    private static final Duration KEY_VALUE_TIMEOUT = Duration.ofSeconds(2);

    @Option(name = "--name", title = "name", description = "Name of this process in its status")
    String mName;

    @Option(
            name = "--listen",
            title = "host:port",
            description = "Address for browsers (default 127.0.0.1:7200)")
    String mListen;

    @Option(
            name = "--key-value",
            title = "host:port",
            description = "Address of the key-value service")
    String mKeyValue;

    @Option(
            name = "--processes",
            title = "host:port,...",
            description = "Admin addresses of entries and agents whose status is shown")
    String mProcesses;

    @Option(
            name = "--operator-key",
            title = "id:salt:hash,...",
            description = "Keys that open a session, as printed by tanagergap-ctl hash-key")
    String mOperatorKey;

    @Option(
            name = "--secure-cookie",
            title = "yes|no",
            description =
                    "Whether browsers send the session cookie over TLS only (default no; always yes"
                            + " with --tls-certificate)")
    String mSecureCookie;

    @AirlineModule TlsFlags mTls = new TlsFlags();

    private HostPort mKeyValueAddress;
    private ConsoleSettings mSettings;

    private enum Choice {
        YES,
        NO
    }

    @Override
    protected String programName() {
        return "tanagergap-console";
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        mKeyValueAddress = reader.address("--key-value", mKeyValue, null);
        String name = reader.text("--name", mName, "console");
        HostPort listen = reader.address("--listen", mListen, "127.0.0.1:7200");
        List<HostPort> processes = reader.addresses("--processes", mProcesses);
        Choice secure = reader.choice("--secure-cookie", mSecureCookie, "no", Choice.class);
        OperatorKeys keys = OperatorKeys.read(reader, mOperatorKey);
        Optional<TlsSettings> tls = mTls.readServer(reader);
        boolean secureCookie = secure == Choice.YES || tls.isPresent();
        mSettings = new ConsoleSettings(name, listen, processes, tls, secureCookie, keys);
    }

    @Override
    protected Service createService(ProgramContext context) {
        HttpKeyValueStore keyValue =
                new HttpKeyValueStore(
                        context.vertx(), mKeyValueAddress, KEY_VALUE_TIMEOUT, context.metrics());
        return new ConsoleService(
                context, mSettings, new KeyValueConfigurationStore(keyValue, context.clock()));
    }
}
