package org.tanagergap.runtime.status;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.json.JsonNumbers;
import org.tanagergap.runtime.settings.HostPort;

/** Requests the configuration version in effect from the admin servers of processes. */
public final class ProcessStatusClient {

    private static final int HTTP_OK = 200;

    private final WebClient mClient;
    private final Duration mTimeout;

    /** Last valid status of each process, which supplies its name while it does not respond. */
    private final Map<HostPort, ProcessStatus> mLastStatuses = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param timeout time after which a connected process is reported as frozen
     */
    public ProcessStatusClient(Vertx vertx, Duration timeout) {
        Objects.requireNonNull(vertx, "vertx must not be null");
        mTimeout = Objects.requireNonNull(timeout, "timeout must not be null");
        // The connection must time out first, to distinguish unreachable from frozen processes.
        int connectMillis = (int) Math.max(1, timeout.toMillis() / 2);
        mClient = WebClient.create(vertx, new WebClientOptions().setConnectTimeout(connectMillis));
    }

    /** Reads the status of each process, in the given order; the future never fails. */
    public CompletableFuture<List<ProcessStatus>> read(List<HostPort> addresses) {
        List<Future<ProcessStatus>> statuses = addresses.stream().map(this::read).toList();
        return Futures.toCompletable(
                Future.all(statuses).map(all -> statuses.stream().map(Future::result).toList()));
    }

    private Future<ProcessStatus> read(HostPort address) {
        return mClient.get(address.port(), address.host(), "/status")
                // Closes the connection, which otherwise keeps its place in the pool.
                .idleTimeout(mTimeout.toMillis())
                .send()
                .timeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .map(response -> status(address, response))
                .otherwise(failure -> failed(address, failure))
                .map(this::withLastName);
    }

    private ProcessStatus failed(HostPort address, Throwable failure) {
        if (failure instanceof TimeoutException && !(failure instanceof ConnectException)) {
            return ProcessStatus.failed(
                    address,
                    ProcessState.FROZEN,
                    "no answer within " + mTimeout.toMillis() + " ms");
        }
        return ProcessStatus.failed(
                address, ProcessState.UNREACHABLE, String.valueOf(failure.getMessage()));
    }

    private ProcessStatus withLastName(ProcessStatus status) {
        if (status.version().isPresent()) {
            mLastStatuses.put(status.address(), status);
            return status;
        }
        ProcessStatus last = mLastStatuses.get(status.address());
        return last == null ? status : status.withNameOf(last);
    }

    private static ProcessStatus status(HostPort address, HttpResponse<Buffer> response) {
        if (response.statusCode() != HTTP_OK) {
            return invalid(address, "HTTP status " + response.statusCode());
        }
        try {
            JsonObject body = response.bodyAsJsonObject();
            OptionalLong version =
                    body == null
                            ? OptionalLong.empty()
                            : JsonNumbers.whole(
                                    body.getValue("configuration_version"), 0, Long.MAX_VALUE);
            if (version.isEmpty()) {
                return invalid(address, "the answer has no configuration_version");
            }
            return new ProcessStatus(
                    address,
                    String.valueOf(body.getValue("name", "")),
                    String.valueOf(body.getValue("program", "")),
                    version,
                    Optional.empty(),
                    "");
        } catch (DecodeException | ClassCastException e) {
            return invalid(address, "the answer is not a JSON object");
        }
    }

    private static ProcessStatus invalid(HostPort address, String detail) {
        return ProcessStatus.failed(address, ProcessState.INVALID, detail);
    }
}
