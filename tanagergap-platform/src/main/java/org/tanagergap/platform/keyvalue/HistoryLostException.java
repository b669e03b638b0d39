package org.tanagergap.platform.keyvalue;

/** Thrown if the changes after the requested revision are no longer available. */
public final class HistoryLostException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public HistoryLostException(long revision) {
        super("changes after revision " + revision + " are no longer available");
    }
}
