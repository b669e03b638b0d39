package org.tanagergap.platform.keyvalue;

/** The service no longer knows the changes after the revision that was asked for. */
public final class HistoryLostException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public HistoryLostException(long revision) {
        super("changes after revision " + revision + " are no longer known");
    }
}
