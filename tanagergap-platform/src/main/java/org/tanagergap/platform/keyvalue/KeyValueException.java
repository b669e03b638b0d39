package org.tanagergap.platform.keyvalue;

/** The key-value service gave no usable answer. */
public final class KeyValueException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean mNotApplied;

    /**
     * Creates an exception.
     *
     * @param notApplied whether the call has certainly not reached the service
     */
    public KeyValueException(String message, boolean notApplied, Throwable cause) {
        super(message, cause);
        mNotApplied = notApplied;
    }

    /** Whether the call has certainly not reached the service. */
    public boolean notApplied() {
        return mNotApplied;
    }
}
