package org.tanagergap.agent.plain;

import io.smallrye.mutiny.Uni;

/** Plain service beside the agent. */
@FunctionalInterface
public interface PlainUpstream {

    /**
     * Sends a call once and reads the whole answer; cancelling the subscription closes the
     * connection. Fails with a {@code RequestFailure} that says {@code NOT_RUN} only when the
     * service certainly did not get the call.
     */
    Uni<PlainServiceResponse> send(PlainCall call);
}
