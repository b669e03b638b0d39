package org.tanagergap.agent.attempt;

import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.protocol.v1.RunRequest;

/** Creates the attempts for one kind of upstream. */
public interface AttemptFactory {

    /**
     * Validates the kind of work and its required fields; throws a {@code RequestFailure} if either
     * is invalid.
     */
    void check(RunRequest request);

    /** Creates an attempt that is scheduled by the given policy. */
    Attempt create(RunRequest request, EventSink sink, PolicyStamp policy);
}
