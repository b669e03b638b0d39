package org.tanagergap.ctl;

/** A command could not do its work; the message is shown to the operator. */
final class CallFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    CallFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
