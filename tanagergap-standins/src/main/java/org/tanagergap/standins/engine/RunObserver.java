package org.tanagergap.standins.engine;

/** Receives the events of a run. */
public interface RunObserver {

    /** An output token was generated. */
    void onToken(long index, String text);

    /** The run is complete. */
    void onFinished(String finishReason, RunUsage usage);

    /** The run was cancelled and its memory is free. */
    void onCancelled();
}
