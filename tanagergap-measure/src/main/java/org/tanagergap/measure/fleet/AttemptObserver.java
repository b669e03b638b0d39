package org.tanagergap.measure.fleet;

/** Receives the events of an attempt at the agent. */
interface AttemptObserver {

    /** Called when the attempt is dispatched from the queue to the engine. */
    void onAdmitted();

    /** Called with the number of tokens prefilled and generated so far. */
    void onProgress(long tokens);

    void onToken(long index);

    void onFinished();

    /** Called when the attempt is refused without a run on the engine. */
    void onRefused(String reason);

    /** Called when the deadline passes while the attempt is running. */
    void onDeadlineExceeded();
}
