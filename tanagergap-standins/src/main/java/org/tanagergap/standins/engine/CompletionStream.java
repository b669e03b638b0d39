package org.tanagergap.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** Writes the events of one run as server-sent events. */
final class CompletionStream implements RunObserver {

    private final String mRequestId;
    private final HttpServerResponse mResponse;
    private final EngineFaults mFaults;
    private final EngineSilence mSilence;
    private long mTokensSent;

    CompletionStream(
            String requestId,
            HttpServerResponse response,
            EngineFaults faults,
            EngineSilence silence) {
        mRequestId = requestId;
        mResponse = response;
        mFaults = faults;
        mSilence = silence;
    }

    @Override
    public void onToken(long index, String text) {
        mSilence.run(() -> sendToken(index, text));
    }

    @Override
    public void onFinished(String finishReason, RunUsage usage) {
        mSilence.run(() -> sendFinish(finishReason, usage));
    }

    @Override
    public void onCancelled() {
        if (!isOver()) {
            mResponse.reset();
        }
    }

    private void sendToken(long index, String text) {
        if (mFaults.withholdsEvents() || isOver() || mFaults.takeSkippedEvent()) {
            return;
        }
        if (mFaults.finishesWithError()) {
            send(error().put("request_id", mRequestId).put("finish_reason", "error"));
            mResponse.end("data: [DONE]\n\n");
            return;
        }
        if (mFaults.takeCrossedEvent()) {
            send(token("other-request", index, " crossed"));
        }
        send(token(mRequestId, index, text));
        if (mFaults.takeDuplicatedEvent()) {
            send(token(mRequestId, index, text));
        }
        mTokensSent++;
        if (mFaults.cutsAfter(mTokensSent)) {
            mResponse.reset();
        } else if (mFaults.endsAfter(mTokensSent)) {
            endEarly();
        }
        mFaults.takeSilence(mTokensSent).ifPresent(mSilence::begin);
    }

    private void endEarly() {
        if (mFaults.endsWithError()) {
            send(error());
        }
        mResponse.end();
    }

    private void sendFinish(String finishReason, RunUsage usage) {
        if (mFaults.withholdsEvents() || isOver()) {
            return;
        }
        send(
                new JsonObject()
                        .put("request_id", mRequestId)
                        .put("finish_reason", finishReason)
                        .put(
                                "usage",
                                new JsonObject()
                                        .put("prompt_tokens", usage.promptTokens())
                                        .put("completion_tokens", usage.completionTokens())
                                        .put("cached_tokens", usage.cachedTokens())));
        mResponse.end("data: [DONE]\n\n");
    }

    private void send(JsonObject event) {
        if (!isOver()) {
            mResponse.write("data: " + event.encode() + "\n\n");
        }
    }

    /** Returns true if the connection is closed or the response was sent by another fault. */
    private boolean isOver() {
        return mResponse.closed() || mResponse.ended();
    }

    private static JsonObject error() {
        JsonObject error = new JsonObject().put("code", "internal").put("message", "no memory");
        return new JsonObject().put("error", error);
    }

    private static JsonObject token(String requestId, long index, String text) {
        return new JsonObject().put("request_id", requestId).put("index", index).put("text", text);
    }
}
