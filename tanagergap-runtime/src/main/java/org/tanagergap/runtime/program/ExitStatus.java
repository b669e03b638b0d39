package org.tanagergap.runtime.program;

/** Exit statuses of the programs. */
public final class ExitStatus {

    public static final int OK = 0;

    /** The program could not do its work. */
    public static final int FAILED = 1;

    /** Wrong settings, arguments or input. */
    public static final int INVALID_SETTINGS = 2;

    private ExitStatus() {}
}
