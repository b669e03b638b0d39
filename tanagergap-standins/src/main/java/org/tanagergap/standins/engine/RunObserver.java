package org.tanagergap.standins.engine;

/** Receives the events of a run. */
public interface RunObserver {

    /** Called for each output token. */
    void onToken(long index, String text);

    /** Called when the run is complete. */
    void onFinished(String finishReason, RunUsage usage);

    /** Called after the run was cancelled and its memory released. */
    void onCancelled();
}
