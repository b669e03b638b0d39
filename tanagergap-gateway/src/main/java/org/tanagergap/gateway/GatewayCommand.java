package org.tanagergap.gateway;

import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.decisions.fleet.ReservationLimits;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.runtime.program.ProgramCommand;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;

/**
 * Program that accepts requests and forwards them to upstreams; subclasses provide the platform.
 */
public abstract class GatewayCommand extends ProgramCommand {

    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_SECONDS = 3_600;

    /** A failed call to the store and the next one take about half of this time. */
    private static final long MIN_USE_AFTER_LEAVING_MILLIS = 1000;

    private static final int MAX_RETRIES = 1_000_000;
    private static final double MAX_COLD_RATE = 1_000_000;
    private static final int MAX_NUMBER = 1_000_000;

    @Option(name = "--id", title = "name", description = "Unique name of this instance")
    String mId;

    @Option(
            name = "--failure-domain",
            title = "name",
            description = "Failure domain in which this instance stands")
    String mFailureDomain;

    @Option(name = "--listen", title = "host:port", description = "Address for callers")
    String mListen;

    @Option(
            name = "--ready-listen",
            title = "host:port",
            description = "Address for the balancer's question whether this instance is ready")
    String mReadyListen;

    @Option(
            name = "--peer-listen",
            title = "host:port",
            description = "Address for other gateways, over TCP and UDP")
    String mPeerListen;

    @Option(
            name = "--key-value",
            title = "host:port",
            description = "Address of the platform's key-value service")
    String mKeyValue;

    @Option(
            name = "--seeds",
            title = "host:port,...",
            description =
                    "Gateways that are asked while the key-value service is out of reach; only the"
                            + " hosts count, the port is that of --peer-listen")
    String mSeeds;

    @Option(
            name = "--drain-ms",
            title = "milliseconds",
            description =
                    "Time at shutdown between the change of readiness and the end of idle"
                            + " connections")
    String mDrainMs;

    @Option(
            name = "--grace-s",
            title = "seconds",
            description = "Time at shutdown after which the process will be killed")
    String mGraceS;

    @Option(
            name = "--max-unused-reservation-ms",
            title = "milliseconds",
            description = "Longest time for which engine memory may be reserved and unused")
    String mMaxUnusedReservationMs;

    @Option(
            name = "--max-reservation-after-use-ms",
            title = "milliseconds",
            description =
                    "Longest time for which engine memory may be reserved after the request that"
                            + " used it")
    String mMaxReservationAfterUseMs;

    @Option(
            name = "--max-use-after-leaving-ms",
            title = "milliseconds",
            description =
                    "Longest time for which an upstream may receive new requests after the store"
                            + " has accepted that it leaves")
    String mMaxUseAfterLeavingMs;

    @Option(
            name = "--retry-ratio",
            title = "ratio",
            description = "Retries of all gateways for each request of a service, 0 to 1")
    String mRetryRatio;

    @Option(
            name = "--retry-extra",
            title = "number",
            description = "Further retries of all gateways in a window")
    String mRetryExtra;

    @Option(
            name = "--retry-window-s",
            title = "seconds",
            description = "Window in which retries are counted")
    String mRetryWindowS;

    @Option(
            name = "--cold-rate-factor",
            title = "factor",
            description =
                    "Requests that a cold upstream may receive in a second, relative to its rate")
    String mColdRateFactor;

    @Option(
            name = "--cold-rate-extra",
            title = "number",
            description = "Further requests that a cold upstream may receive in a second")
    String mColdRateExtra;

    @Option(
            name = "--max-connections",
            title = "number",
            description =
                    "Connections of clients; 0 for half of the descriptors of the"
                            + " process, at most 8192")
    String mMaxConnections;

    @Option(
            name = "--max-header-lines",
            title = "number",
            description = "Lines of the head of a request")
    String mMaxHeaderLines;

    @Option(
            name = "--max-leading-bytes",
            title = "bytes",
            description = "Bytes, such as empty lines, in front of a request")
    String mMaxLeadingBytes;

    private GatewaySettings mSettings;

    /** Creates the components that connect the gateway with its platform. */
    protected abstract GatewayPlatform platform(
            ProgramContext context, Supplier<HostPort> keyValue);

    @Override
    protected VertxOptions vertxOptions() {
        // One event loop owns all state without locks; the process has less than one core.
        return new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false));
    }

    @Override
    protected void readSettings(SettingsReader reader) {
        mSettings = settings(reader);
    }

    @Override
    protected Service createService(ProgramContext context) {
        ReloadableSettings reloadable =
                new ReloadableSettings(
                        mSettings,
                        () -> {
                            SettingsReader reader = reader(System.getenv());
                            GatewaySettings settings = settings(reader);
                            reader.findings().throwIfAny();
                            return settings;
                        });
        GatewayPlatform platform = platform(context, () -> reloadable.settings().keyValue());
        return new GatewayService(context, reloadable, platform);
    }

    private GatewaySettings settings(SettingsReader reader) {
        HostPort peerListen = reader.address("--peer-listen", mPeerListen, null);
        List<HostPort> seeds = reader.addresses("--seeds", mSeeds);
        return new GatewaySettings(
                reader.text("--id", mId, null),
                reader.text("--failure-domain", mFailureDomain, null),
                reader.address("--listen", mListen, "127.0.0.1:8080"),
                reader.address("--ready-listen", mReadyListen, "127.0.0.1:8081"),
                peerListen,
                reader.address("--key-value", mKeyValue, null),
                peerListen == null
                        ? seeds
                        : seeds.stream()
                                .map(seed -> new HostPort(seed.host(), peerListen.port()))
                                .toList(),
                reader.millis("--drain-ms", mDrainMs, "3000", 0, MAX_MILLIS),
                reader.seconds("--grace-s", mGraceS, "8", 0, MAX_SECONDS),
                reservationLimits(reader),
                reader.millis(
                        "--max-use-after-leaving-ms",
                        mMaxUseAfterLeavingMs,
                        Long.toString(ReplicationTiming.DEFAULT_LIMIT.toMillis()),
                        MIN_USE_AFTER_LEAVING_MILLIS,
                        MAX_MILLIS),
                retryBudget(reader),
                new ColdRateSettings(
                        reader.decimal(
                                "--cold-rate-factor", mColdRateFactor, "1", 0, MAX_COLD_RATE),
                        reader.decimal("--cold-rate-extra", mColdRateExtra, "0", 0, MAX_COLD_RATE)),
                inbound(reader));
    }

    private ReservationLimits reservationLimits(SettingsReader reader) {
        return new ReservationLimits(
                reader.millis(
                        "--max-unused-reservation-ms",
                        mMaxUnusedReservationMs,
                        "9000",
                        1000,
                        MAX_MILLIS),
                reader.millis(
                        "--max-reservation-after-use-ms",
                        mMaxReservationAfterUseMs,
                        "4000",
                        1000,
                        MAX_MILLIS));
    }

    private InboundSettings inbound(SettingsReader reader) {
        // The default number of lines fills a head of 64 KB with the shortest header lines.
        return new InboundSettings(
                (int) reader.number("--max-connections", mMaxConnections, "0", 0, MAX_NUMBER),
                (int) reader.number("--max-header-lines", mMaxHeaderLines, "22000", 10, MAX_NUMBER),
                (int)
                        reader.number(
                                "--max-leading-bytes", mMaxLeadingBytes, "1024", 2, MAX_NUMBER));
    }

    private RetryBudgetSettings retryBudget(SettingsReader reader) {
        double ratio = reader.decimal("--retry-ratio", mRetryRatio, "0.1", 0, 1);
        // A part of a retry of all gateways together adds to the shares of each.
        double extra = reader.decimal("--retry-extra", mRetryExtra, "10", 0, MAX_RETRIES);
        Duration window = reader.seconds("--retry-window-s", mRetryWindowS, "10", 1, MAX_SECONDS);
        return new RetryBudgetSettings(ratio, extra, window);
    }
}
