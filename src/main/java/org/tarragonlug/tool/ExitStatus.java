package org.tarragonlug.tool;

/** Exit statuses of all commands. */
final class ExitStatus {
    /** The command succeeded. */
    static final int SUCCESS = 0;

    /** The command failed, or a check of the running system failed. */
    static final int FAILURE = 1;

    /** The command line, settings or tables are invalid, so the command did nothing. */
    static final int INVALID_INPUT = 2;

    private ExitStatus() {}
}
