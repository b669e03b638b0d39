package org.tanagergap.agent.plain;

import io.smallrye.mutiny.Uni;

/** Plain service to which the agent sends calls. */
@FunctionalInterface
public interface PlainUpstream {

    /**
     * Sends a call once and reads the complete response; cancelling the subscription closes the
     * connection. Fails with a {@code RequestFailure} whose execution is {@code NOT_RUN} only if
     * the service cannot have received the call.
     */
    Uni<PlainServiceResponse> send(PlainCall call);
}
