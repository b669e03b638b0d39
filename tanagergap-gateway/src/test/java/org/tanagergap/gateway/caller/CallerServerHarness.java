package org.tanagergap.gateway.caller;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.gateway.InboundSettings;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.RouteKind;
import org.tanagergap.gateway.configuration.ServiceShare;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.membership.ChangeOrigin;
import org.tanagergap.gateway.membership.FleetChange;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.runtime.http.AcceptedConnections;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.settings.FreeAddresses;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;

/** A server for callers whose requests a test handles itself, over real connections. */
final class CallerServerHarness implements AutoCloseable {

    static final String HOST = "127.0.0.1";

    private static final int SOCKET_TIMEOUT_MILLIS = 5000;

    /** One event loop, as in the deployed program. */
    final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private static final int MAX_CONNECTIONS = 1000;

    final GatewayCallerServer mServer;
    private final HostPort mAddress;
    private final List<Socket> mSockets = new ArrayList<>();

    CallerServerHarness(RouteKind kind, Runnable parsing, CallerHandler handler) throws Exception {
        this(kind, CallerLimits.DEFAULT, parsing, handler);
    }

    CallerServerHarness(
            RouteKind kind, CallerLimits limits, Runnable parsing, CallerHandler handler)
            throws Exception {
        this(kind, limits, parsing, handler, VertxRuntimeClock::new, SharedMemoryLimit.ofHeap());
    }

    /** Starts a server that receives bodies and gives up each complete request. */
    static CallerServerHarness ofBodies(
            Function<Vertx, RuntimeClock> clocks, SharedMemoryLimit memory) throws Exception {
        return new CallerServerHarness(
                RouteKind.IDEMPOTENT,
                CallerLimits.DEFAULT,
                () -> {},
                (exchange, request) -> exchange.abort(),
                clocks,
                memory);
    }

    /**
     * Starts a server.
     *
     * @param clocks creates the clock of the server
     * @param memory memory for requests
     */
    CallerServerHarness(
            RouteKind kind,
            CallerLimits limits,
            Runnable parsing,
            CallerHandler handler,
            Function<Vertx, RuntimeClock> clocks,
            SharedMemoryLimit memory)
            throws Exception {
        RuntimeClock clock = clocks.apply(mVertx);
        FleetView view = new FleetView(clock);
        view.accept(
                new FleetChange.ConfigurationAccepted(configuration(kind, limits)),
                ChangeOrigin.WRITE);
        mAddress = FreeAddresses.find(1).get(0);
        mServer =
                new GatewayCallerServer(
                        mVertx,
                        clock,
                        mAddress,
                        view,
                        new FakeWireFormat(parsing),
                        new RequestResolver(new Random(1)),
                        new BodyAdmission(memory),
                        handler,
                        new InboundProtection(
                                clock,
                                new AcceptedConnections(),
                                new ConnectionAdmission(memory, MAX_CONNECTIONS),
                                new HeadAdmission(memory),
                                new MetricRegistry()),
                        new InboundSettings(MAX_CONNECTIONS, 22_000, 1024));
        mServer.start().get(5, TimeUnit.SECONDS);
        mServer.fleetLoaded();
    }

    private static GatewayConfiguration configuration(RouteKind kind, CallerLimits limits) {
        Route route =
                new Route(
                        "r",
                        HOST,
                        "/",
                        kind,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(2),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        true,
                        false);
        return new GatewayConfiguration(
                1,
                List.of(route),
                Map.of("s", new ServiceTarget("s", Optional.empty())),
                limits,
                Optional.empty());
    }

    int port() {
        return mAddress.port();
    }

    /** Opens a connection that is closed with this harness. */
    Socket connect() throws Exception {
        Socket socket = new Socket(HOST, port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        mSockets.add(socket);
        return socket;
    }

    static void send(Socket socket, String bytes) throws Exception {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request on a new connection and returns the status of the response. */
    int status() throws Exception {
        return mVertx.createHttpClient()
                .request(HttpMethod.GET, port(), HOST, "/x")
                .compose(request -> request.send())
                .map(response -> response.statusCode())
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
