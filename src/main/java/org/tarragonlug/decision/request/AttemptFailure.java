package org.tarragonlug.decision.request;

import org.tarragonlug.decision.Execution;

/** How an attempt on a backend server failed. */
public enum AttemptFailure {
    /** The connection could not be made; nothing was sent. */
    NOT_SENT(Execution.NOT_RUN),
    /** The server refused it because it is overloaded. */
    REFUSED_OVERLOADED(Execution.NOT_RUN),
    /** The server refused it because it is leaving. */
    REFUSED_LEAVING(Execution.NOT_RUN),
    /** The server refused it because the artifact is not loaded there. */
    REFUSED_NOT_LOADED(Execution.NOT_RUN),
    /** The server answered that the request itself is at fault. */
    REJECTED(Execution.NOT_RUN),
    /** The connection broke after the request was sent. */
    CONNECTION_LOST(Execution.MAY_HAVE_RUN),
    /** No progress came within the progress deadline. */
    SILENT(Execution.MAY_HAVE_RUN),
    /** The server failed while running it. */
    SERVER_ERROR(Execution.MAY_HAVE_RUN);

    private final Execution execution;

    AttemptFailure(Execution execution) {
        this.execution = execution;
    }

    /** Returns what is known about whether the attempt ran. */
    public Execution execution() {
        return execution;
    }
}
