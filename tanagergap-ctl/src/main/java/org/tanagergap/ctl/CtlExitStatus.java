package org.tanagergap.ctl;

/** Exit statuses of tanagergap-ctl; 0 to 2 mean the same as for the other programs. */
final class CtlExitStatus {

    static final int DONE = 0;

    /** The command failed, or the configuration version is not yet in effect in every process. */
    static final int FAILED = 1;

    /** Invalid arguments or an invalid document. */
    static final int INVALID_INPUT = 2;

    /** Another version was accepted after the base version of the submission. */
    static final int CONFLICT = 3;

    /** The submission may or may not have been accepted. */
    static final int UNRESOLVED = 4;

    private CtlExitStatus() {}
}
