package org.tanagergap.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** Responds to the prefill of a segment once its KV cache is complete. */
final class SegmentReply implements RunObserver {

    private final String mHandle;
    private final long mTokens;
    private final HttpServerResponse mResponse;

    SegmentReply(String handle, long tokens, HttpServerResponse response) {
        mHandle = handle;
        mTokens = tokens;
        mResponse = response;
    }

    @Override
    public void onToken(long index, String text) {
        throw new IllegalStateException(
                "prefill of segment "
                        + mHandle
                        + " generated output token "
                        + index
                        + "; expected none");
    }

    @Override
    public void onFinished(String finishReason, RunUsage usage) {
        if (!mResponse.closed()) {
            mResponse
                    .putHeader("Content-Type", "application/json")
                    .end(new JsonObject().put("handle", mHandle).put("tokens", mTokens).encode());
        }
    }

    @Override
    public void onCancelled() {
        if (!mResponse.closed()) {
            mResponse.reset();
        }
    }
}
