package org.tanagergap.agent.plain;

import org.tanagergap.api.failure.RequestFailure;

/** Receives the events of one call to a plain service, on the agent's event loop. */
public interface PlainCallListener {

    /** Called just before the call is sent. */
    void sending();

    /** Called with the response, from the service or from the intent log. */
    void responseReceived(PlainServiceResponse response);

    /** Called when the call has failed. */
    void failed(RequestFailure failure);

    /** Called after all other events, when the call no longer occupies the service. */
    void ended();
}
