package org.tarragonlug.tool;

/** Exit statuses of all commands. */
final class ExitStatus {
    /** The command did what was asked. */
    static final int SUCCESS = 0;

    /** The command failed, or what it checked does not hold. */
    static final int FAILURE = 1;

    /** The command line, settings or tables are invalid; nothing was done. */
    static final int INVALID_INPUT = 2;

    private ExitStatus() {}
}
