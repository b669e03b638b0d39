package org.tanagergap.platform.instances;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;

/** Reads instances from {@code EndpointSlice} objects ({@code discovery.k8s.io/v1}). */
public final class HttpInstanceList implements InstanceList {

    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";

    private final WebClient mClient;
    private final HostPort mAddress;
    private final Duration mTimeout;
    private final EndpointSliceReader mReader = new EndpointSliceReader();

    public HttpInstanceList(Vertx vertx, HostPort address, Duration timeout) {
        mClient = WebClient.create(Objects.requireNonNull(vertx, "vertx must not be null"));
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mTimeout = Objects.requireNonNull(timeout, "timeout must not be null");
    }

    @Override
    public CompletableFuture<List<Instance>> read(String group) {
        Objects.requireNonNull(group, "group must not be null");
        return Futures.toCompletable(
                mClient.get(mAddress.port(), mAddress.host(), PATH)
                        .addQueryParam(
                                "labelSelector", EndpointSliceReader.GROUP_LABEL + "=" + group)
                        .timeout(mTimeout.toMillis())
                        .send()
                        .expecting(HttpResponseExpectation.SC_OK)
                        .map(response -> mReader.read(body(response), group)));
    }

    private static Buffer body(HttpResponse<Buffer> response) {
        return response.body() == null ? Buffer.buffer() : response.body();
    }
}
