package org.tanagergap.ctl;

/** A command could not do its work; the message is shown to the operator. */
final class CommandFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    CommandFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
