package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.RouteKind;
import org.tanagergap.gateway.configuration.ServiceShare;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.membership.ChangeOrigin;
import org.tanagergap.gateway.membership.FleetChange;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.runtime.settings.FreeAddresses;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;

/** Guards callers against a request whose handler fails and that is never answered. */
final class HandlerFailureTests {

    private static final String HOST = "127.0.0.1";

    private final Vertx mVertx = Vertx.vertx();
    private final AtomicInteger mDisconnected = new AtomicInteger();
    private GatewayCallerServer mServer;

    @AfterEach
    void close() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static void overflow() {
        throw new StackOverflowError();
    }

    private static GatewayConfiguration configuration() {
        Route route =
                new Route(
                        "r",
                        HOST,
                        "/",
                        RouteKind.IDEMPOTENT,
                        Duration.ofSeconds(20),
                        Duration.ofSeconds(20),
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
                CallerLimits.DEFAULT,
                Optional.empty());
    }

    private int start(Runnable parsing, CallerHandler handler) throws Exception {
        VertxRuntimeClock clock = new VertxRuntimeClock(mVertx);
        FleetView view = new FleetView(clock);
        view.accept(new FleetChange.ConfigurationAccepted(configuration()), ChangeOrigin.WRITE);
        HostPort address = FreeAddresses.find(1).get(0);
        mServer =
                new GatewayCallerServer(
                        mVertx,
                        clock,
                        address,
                        view,
                        new FakeWireFormat(parsing),
                        new RequestResolver(new Random(1)),
                        handler);
        mServer.start().get(5, TimeUnit.SECONDS);
        mServer.fleetLoaded();
        return address.port();
    }

    private int status(int port) throws Exception {
        return mVertx.createHttpClient()
                .request(HttpMethod.GET, port, HOST, "/x")
                .compose(request -> request.send())
                .map(response -> response.statusCode())
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
    }

    @Test
    void aRequestWhoseHandlerFailsIsAnsweredAndStopsBeingForwarded() throws Exception {
        int port =
                start(
                        () -> {},
                        (exchange, request) -> {
                            exchange.onDisconnect(mDisconnected::incrementAndGet);
                            overflow();
                        });

        assertThat(status(port)).isEqualTo(502);
        assertThat(mDisconnected.get()).isEqualTo(1);
        assertThat(mServer.requestsInFlight()).isEqualTo(0);
    }

    @Test
    void aRequestWhoseHeadersCannotBeParsedDoesNotWaitForAResponse() throws Exception {
        int port = start(HandlerFailureTests::overflow, (exchange, request) -> exchange.abort());

        Throwable failure = assertThrows(ExecutionException.class, () -> status(port)).getCause();

        assertThat(failure).isInstanceOf(HttpClosedException.class);
        assertThat(mServer.requestsInFlight()).isEqualTo(0);
    }
}
