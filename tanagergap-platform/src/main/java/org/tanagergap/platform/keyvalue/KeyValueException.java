package org.tanagergap.platform.keyvalue;

/** Thrown if a call to the key-value store fails. */
public final class KeyValueException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean mNotApplied;

    /**
     * Creates an exception.
     *
     * @param notApplied true if the call was certainly not applied
     */
    public KeyValueException(String message, boolean notApplied, Throwable cause) {
        super(message, cause);
        mNotApplied = notApplied;
    }

    /** Returns true if the call was certainly not applied; false if that is unknown. */
    public boolean notApplied() {
        return mNotApplied;
    }
}
