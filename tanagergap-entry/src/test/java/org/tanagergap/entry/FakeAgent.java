package org.tanagergap.entry;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.streams.WriteStream;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.GrpcServerResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.ExchangeReply;
import org.tanagergap.protocol.v1.ExchangeRequest;
import org.tanagergap.protocol.v1.Execution;
import org.tanagergap.protocol.v1.Failed;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.ReleaseHoldReply;
import org.tanagergap.protocol.v1.ReleaseHoldRequest;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.SegmentHandle;
import org.tanagergap.protocol.v1.Token;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcService;
import org.tanagergap.protocol.v1.UpstreamAgentService;
import org.tanagergap.runtime.tls.TlsReloader;

/** Agent served over gRPC in the same process, with responses that a test scripts. */
final class FakeAgent extends UpstreamAgentService {

    /** Receives the next runs instead of the service. */
    volatile Optional<Handler<HttpServerRequest>> mRunHandler = Optional.empty();

    /** Script of the next runs. */
    volatile BiConsumer<RunRequest, Stream> mScript = (request, stream) -> stream.complete(3);

    volatile Hint mHint = Hint.newBuilder().setUpstreamReady(true).build();
    volatile boolean mRepliesToExchange = true;
    volatile long mReservationsSilentUntilNanos = Long.MIN_VALUE;
    volatile long mPrefillDelayMillis;
    final BlockingQueue<RunRequest> mRuns = new LinkedBlockingQueue<>();
    final BlockingQueue<String> mCancelled = new LinkedBlockingQueue<>();
    final BlockingQueue<ExchangeRequest> mExchanges = new LinkedBlockingQueue<>();
    private final List<String> mCalls;
    private final String mName;
    private Vertx mVertx;
    private HttpServer mServer;

    FakeAgent(String name, List<String> calls) {
        mName = name;
        mCalls = calls;
    }

    FakeAgent start(Vertx vertx, TlsReloader tls) {
        mVertx = vertx;
        GrpcServer grpc =
                GrpcServer.server(
                        vertx, new GrpcServerOptions().setMaxMessageSize(32L * 1024 * 1024));
        UpstreamAgentGrpcService.builder(this)
                .bind(
                        UpstreamAgentGrpcService.Cancel,
                        UpstreamAgentGrpcService.Hold,
                        UpstreamAgentGrpcService.ReleaseHold,
                        UpstreamAgentGrpcService.PrefillSegment,
                        UpstreamAgentGrpcService.Exchange)
                .build()
                .bind(grpc);
        // The generated handler does not notify the service when its client cancels a call.
        grpc.callHandler(
                UpstreamAgentGrpcService.Run,
                call -> {
                    call.errorHandler(ignored -> mCancelled.add("error"));
                    call.exceptionHandler(ignored -> mCancelled.add("broken"));
                    call.response().exceptionHandler(ignored -> mCancelled.add("reset"));
                    call.handler(request -> run(request, call.response()));
                });
        mServer = tls.mutualServer(new HttpServerOptions(), request -> receive(request, grpc));
        mServer.listen(0, "127.0.0.1").await();
        return this;
    }

    private void receive(HttpServerRequest request, GrpcServer grpc) {
        if (request.path().endsWith("/Run") && mRunHandler.isPresent()) {
            mRunHandler.get().handle(request);
        } else {
            grpc.handle(request);
        }
    }

    String address() {
        return "127.0.0.1:" + mServer.actualPort();
    }

    void stop() {
        mServer.close().await();
    }

    @Override
    protected void run(RunRequest request, WriteStream<RunEvent> response) {
        mRuns.add(request);
        mScript.accept(request, new Stream(request, response));
    }

    @Override
    public Future<ExchangeReply> exchange(ExchangeRequest request) {
        mExchanges.add(request);
        if (!mRepliesToExchange) {
            return Future.failedFuture("no answer");
        }
        return Future.succeededFuture(
                ExchangeReply.newBuilder()
                        .setAgentId(mName)
                        .setConfigurationVersion(request.getConfigurationVersion())
                        .setHint(
                                mHint.toBuilder()
                                        .setConfigurationVersion(request.getConfigurationVersion()))
                        .build());
    }

    @Override
    public Future<HoldReply> hold(HoldRequest request) {
        mCalls.add(mName + " hold " + request.getTokens());
        boolean held = request.getTokens() <= mHint.getMemoryTokensFree();
        long silentNanos = mReservationsSilentUntilNanos - System.nanoTime();
        return after(
                mReservationsSilentUntilNanos == Long.MIN_VALUE || silentNanos <= 0
                        ? 0
                        : TimeUnit.NANOSECONDS.toMillis(silentNanos) + 1,
                HoldReply.newBuilder().setHeld(held).setUpstreamUrl("http://" + mName).build());
    }

    @Override
    public Future<ReleaseHoldReply> releaseHold(ReleaseHoldRequest request) {
        mCalls.add(mName + " release");
        return Future.succeededFuture(ReleaseHoldReply.getDefaultInstance());
    }

    @Override
    public Future<PrefillSegmentReply> prefillSegment(PrefillSegmentRequest request) {
        mCalls.add(mName + " prefill " + request.getPrompt().length());
        return after(
                mPrefillDelayMillis,
                PrefillSegmentReply.newBuilder()
                        .setSegment(SegmentHandle.newBuilder().setUrl("http://" + mName))
                        .build());
    }

    private <T> Future<T> after(long millis, T reply) {
        return millis == 0
                ? Future.succeededFuture(reply)
                : mVertx.timer(millis, TimeUnit.MILLISECONDS).map(reply);
    }

    /** Writes the events of one run. */
    static final class Stream {
        private final RunRequest mRequest;
        private final WriteStream<RunEvent> mResponse;

        Stream(RunRequest request, WriteStream<RunEvent> response) {
            mRequest = request;
            mResponse = response;
        }

        /**
         * Sends the tokens from the requested one up to the given count, and the finished event.
         */
        void complete(long count) {
            tokens(mRequest.getCompletion().getResumeFrom(), count);
            finish(count);
        }

        Stream tokens(long from, long to) {
            send(event().setAdmitted(Admitted.getDefaultInstance()));
            for (long i = from; i < to; i++) {
                token(i);
            }
            return this;
        }

        Stream token(long index) {
            return send(
                    event().setToken(
                                    Token.newBuilder().setIndex(index).setText("t" + index + " ")));
        }

        void finish(long count) {
            RunEvent.Builder last =
                    event().setFinished(
                                    Finished.newBuilder()
                                            .setOutputTokens(count)
                                            .setFinishReason("stop"));
            mResponse.end(last.build());
        }

        void fail(String code, Execution execution) {
            mResponse.end(
                    event().setFailed(
                                    Failed.newBuilder()
                                            .setCode(code)
                                            .setMessage("scripted")
                                            .setExecution(execution))
                            .build());
        }

        /** Sends large tokens for as long as the entry reads them; returns their number so far. */
        AtomicLong sendUntilBackPressure(Vertx vertx) {
            AtomicLong sent = new AtomicLong();
            String text = "x".repeat(10_000);
            vertx.setPeriodic(
                    1,
                    timer -> {
                        while (!mResponse.writeQueueFull() && sent.get() < 10_000) {
                            Token.Builder token =
                                    Token.newBuilder().setIndex(sent.getAndIncrement());
                            send(event().setToken(token.setText(text)));
                        }
                    });
            return sent;
        }

        /** Resets the call, as the crash of an agent does. */
        void breakCall() {
            ((GrpcServerResponse<?, ?>) mResponse).cancel();
        }

        RunEvent.Builder event() {
            return RunEvent.newBuilder().setAttemptId(mRequest.getAttemptId());
        }

        Stream send(RunEvent.Builder event) {
            mResponse.write(event.build());
            return this;
        }
    }
}
