package org.tanagergap.agent.attempt;

import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.protocol.v1.RunRequest;

/** Creates the attempt for a request, by the kind of the upstream. */
public interface AttemptFactory {

    /** Checks the kind of work and the fields that it needs; throws a {@code RequestFailure}. */
    void check(RunRequest request);

    /** Creates an attempt that is scheduled by the given policy. */
    Attempt create(RunRequest request, EventSink sink, PolicyStamp policy);
}
