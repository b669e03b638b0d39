package org.tanagergap.ctl;

/** Exit statuses of the command line; 0 to 2 are those of all programs. */
final class CtlExitStatus {

    static final int DONE = 0;

    /** The command could not do its work, or a configuration is not yet in effect everywhere. */
    static final int FAILED = 1;

    /** Wrong arguments or an invalid document. */
    static final int INVALID_INPUT = 2;

    /** Another submission came first. */
    static final int CONFLICT = 3;

    /** It is not known whether the submission was accepted. */
    static final int UNRESOLVED = 4;

    private CtlExitStatus() {}
}
