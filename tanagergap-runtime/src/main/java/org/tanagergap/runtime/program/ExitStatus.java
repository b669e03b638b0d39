package org.tanagergap.runtime.program;

/** Exit statuses of the programs. */
public final class ExitStatus {

    public static final int OK = 0;

    /** The program failed. */
    public static final int FAILED = 1;

    /** Invalid settings, arguments or input. */
    public static final int INVALID_SETTINGS = 2;

    private ExitStatus() {}
}
