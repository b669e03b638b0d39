package org.tanagergap.entry;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.decisions.cost.TokenEstimator;
import org.tanagergap.decisions.retry.RetryBudget;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.entry.caller.CallerSettings;
import org.tanagergap.platform.instances.HttpInstanceList;
import org.tanagergap.platform.instances.InstanceList;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.program.ProgramRunner;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.runtime.tls.TlsFlags;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;

/** Program that accepts requests from callers and routes them to agents. */
@Command(name = "tanagergap-entry", description = "Accepts requests and routes them to upstreams")
public final class EntryMain extends ProgramCommand {

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_CONFIGURABLE_BYTES = 1L << 40;

    /** gRPC messages are limited to 32 MiB, and the text of a body can grow when it is encoded. */
    private static final long MAX_CONFIGURABLE_BODY_BYTES = 16L << 20;

    private static final long MAX_MILLIS = 3_600_000;

    @Option(name = "--listen", title = "host:port", description = "Address for callers")
    String mListen;

    @Option(
            name = "--peer-listen",
            title = "host:port",
            description = "Address for other entries, which read the configuration here")
    String mPeerListen;

    @Option(
            name = "--peers",
            title = "host:port,...",
            description = "Peer addresses of other entries, separated by commas")
    String mPeers;

    @Option(name = "--id", title = "name", description = "Unique name, as in the instance list")
    String mId;

    @Option(
            name = "--failure-domain",
            title = "name",
            description = "Failure domain in which this entry stands")
    String mFailureDomain;

    @Option(
            name = "--key-value",
            title = "host:port",
            description = "Address of the platform's key-value service")
    String mKeyValue;

    @Option(
            name = "--instances",
            title = "host:port",
            description = "Address of the platform's instance list")
    String mInstances;

    @Option(name = "--max-body-bytes", title = "bytes", description = "Largest body of a request")
    String mMaxBodyBytes;

    @Option(
            name = "--max-bytes-in-flight",
            title = "bytes",
            description = "Most bytes of bodies that this entry holds at once")
    String mMaxBytesInFlight;

    @Option(
            name = "--body-timeout-ms",
            title = "milliseconds",
            description = "Time within which a body must arrive")
    String mBodyTimeoutMs;

    @Option(
            name = "--drain-ms",
            title = "milliseconds",
            description =
                    "Time between the change of readiness and the refusal of new requests at"
                            + " shutdown; requests in flight are always finished")
    String mDrainMs;

    @AirlineModule TlsFlags mTls = new TlsFlags();

    private EntrySettings mSettings;

    /** Runs the program. */
    public static void main(String[] args) {
        ProgramRunner.run(EntryMain.class, args);
    }

    @Override
    protected String programName() {
        return "tanagergap-entry";
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        CallerSettings caller = callerSettings(reader);
        HostPort peerListen = reader.address("--peer-listen", mPeerListen, "127.0.0.1:0");
        HostPort keyValue = reader.address("--key-value", mKeyValue, null);
        mSettings =
                new EntrySettings(
                        reader.text("--id", mId, null),
                        reader.text("--failure-domain", mFailureDomain, null),
                        caller,
                        peerListen,
                        reader.addresses("--peers", mPeers),
                        keyValue,
                        instances(reader),
                        mTls.readMutual(reader),
                        reader.millis("--drain-ms", mDrainMs, "1000", 0, MAX_MILLIS));
    }

    @Override
    protected Service createService(ProgramContext context) {
        KeyValueStore keyValue =
                new HttpKeyValueStore(
                        context.vertx(), mSettings.keyValue(), PLATFORM_TIMEOUT, context.metrics());
        Optional<InstanceList> instances =
                mSettings
                        .instances()
                        .map(a -> new HttpInstanceList(context.vertx(), a, PLATFORM_TIMEOUT));
        return new EntryService(
                context,
                mSettings,
                new EntryComponents(
                        new KeyValueConfigurationStore(keyValue, context.clock()),
                        instances,
                        ConfigurationDocument::parse,
                        new SubsetRequestRouter(
                                context.clock(),
                                RouterSettings.defaults(mSettings.failureDomain()),
                                new SecureRandom()),
                        new RetryBudget(),
                        new TokenEstimator()));
    }

    private CallerSettings callerSettings(SettingsReader reader) {
        HostPort listen = reader.address("--listen", mListen, "127.0.0.1:8080");
        long maxBodyBytes =
                reader.number(
                        "--max-body-bytes",
                        mMaxBodyBytes,
                        Long.toString(MAX_CONFIGURABLE_BODY_BYTES),
                        1,
                        MAX_CONFIGURABLE_BODY_BYTES);
        long maxBytesInFlight =
                reader.number(
                        "--max-bytes-in-flight",
                        mMaxBytesInFlight,
                        Long.toString(256L << 20),
                        1,
                        MAX_CONFIGURABLE_BYTES);
        Duration bodyTimeout =
                reader.millis("--body-timeout-ms", mBodyTimeoutMs, "30000", 1, MAX_MILLIS);
        // An address that is not valid is null here, and its finding prevents the start of the
        // program.
        return listen == null
                ? null
                : new CallerSettings(listen, maxBodyBytes, maxBytesInFlight, bodyTimeout);
    }

    private Optional<HostPort> instances(SettingsReader reader) {
        return reader.optionalText("--instances", mInstances)
                .flatMap(
                        text -> {
                            Optional<HostPort> address = HostPort.parse(text);
                            if (address.isEmpty()) {
                                reader.reject(
                                        "--instances",
                                        "\"" + text + "\" is not valid; expected host:port");
                            }
                            return address;
                        });
    }
}
