package org.tanagergap.agent.plain;

import org.tanagergap.api.failure.RequestFailure;

/** Follows one call to a plain service; its methods run on the agent's loop. */
public interface PlainCallListener {

    /** The call is sent now. */
    void sending();

    /** The call has an answer. */
    void responseReceived(PlainServiceResponse response);

    /** The call failed. */
    void failed(RequestFailure failure);

    /** Nothing happens any more at the service; follows every other event. */
    void ended();
}
