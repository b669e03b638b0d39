package org.tanagergap.measure.fleet;

/** Receives the events of an attempt at the agent. */
interface AttemptObserver {

    /** The attempt left the queue. */
    void onAdmitted();

    /** Tokens that were prefilled and generated so far. */
    void onProgress(long tokens);

    void onToken(long index);

    void onFinished();

    /** The attempt was refused and has not run. */
    void onRefused(String reason);

    /** The attempt ran and its deadline passed. */
    void onDeadlineExceeded();
}
