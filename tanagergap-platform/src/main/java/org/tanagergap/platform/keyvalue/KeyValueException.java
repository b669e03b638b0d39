package org.tanagergap.platform.keyvalue;

/** The key-value service gave no usable answer. */
public final class KeyValueException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean mNotSent;

    /**
     * Creates an exception.
     *
     * @param notSent whether the call has certainly not reached the service
     */
    public KeyValueException(String message, boolean notSent, Throwable cause) {
        super(message, cause);
        mNotSent = notSent;
    }

    /** Whether the call has certainly not reached the service. */
    public boolean notSent() {
        return mNotSent;
    }
}
