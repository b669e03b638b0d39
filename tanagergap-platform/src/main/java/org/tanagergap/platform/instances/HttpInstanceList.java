package org.tanagergap.platform.instances;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.settings.HostPort;

/** Reads instances from {@code EndpointSlice} objects ({@code discovery.k8s.io/v1}). */
public final class HttpInstanceList implements InstanceList {

    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final int HTTP_OK = 200;

    /** Five times the slices of 12,000 runners at 1 KB each. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final HttpClient mClient;
    private final HostPort mAddress;
    private final Duration mTimeout;
    private final EndpointSliceReader mReader = new EndpointSliceReader();

    /**
     * Creates a client.
     *
     * @param timeout time after which a read without a complete response fails
     */
    public HttpInstanceList(Vertx vertx, HostPort address, Duration timeout) {
        mClient = Objects.requireNonNull(vertx, "vertx must not be null").createHttpClient();
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mTimeout = Objects.requireNonNull(timeout, "timeout must not be null");
    }

    @Override
    public CompletableFuture<List<Instance>> read(String group) {
        Objects.requireNonNull(group, "group must not be null");
        return Futures.toCompletable(
                mClient.request(options(group))
                        .compose(
                                request ->
                                        BufferedCall.send(
                                                request,
                                                Optional.empty(),
                                                mTimeout,
                                                MAX_BODY_BYTES))
                        .compose(response -> instances(response, group)));
    }

    private RequestOptions options(String group) {
        String selector = EndpointSliceReader.GROUP_LABEL + "=" + group;
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(mAddress.host())
                .setPort(mAddress.port())
                .setURI(
                        PATH
                                + "?labelSelector="
                                + URLEncoder.encode(selector, StandardCharsets.UTF_8))
                .setConnectTimeout(mTimeout.toMillis());
    }

    private Future<List<Instance>> instances(BufferedCall.Response response, String group) {
        return response.status() == HTTP_OK
                ? Future.succeededFuture(mReader.read(response.body(), group))
                : Future.failedFuture("the instance list answered " + response.status());
    }
}
