package org.tanagergap.ctl;

/** Thrown when a command fails; its message is printed to the operator. */
final class CommandFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    CommandFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
