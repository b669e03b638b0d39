package org.tanagergap.entry.execution;

import java.util.Objects;

/** Runs requests of callers on agents. */
public final class RequestExecutor {

    private final ExecutorContext mContext;

    public RequestExecutor(ExecutorContext context) {
        mContext = Objects.requireNonNull(context, "context must not be null");
    }

    /**
     * Runs a request; the sink receives the response on the calling event loop. Exactly one of
     * {@link ResponseSink#finished} and {@link ResponseSink#failed} is called, by the deadline at
     * the latest, unless the request is cancelled first.
     */
    public RunHandle execute(CallerRequest request, ResponseSink sink) {
        RequestRun run =
                new RequestRun(mContext, request, sink, mContext.vertx().getOrCreateContext());
        run.start();
        return run::cancel;
    }
}
