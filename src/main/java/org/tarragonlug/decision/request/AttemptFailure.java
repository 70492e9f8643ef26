package org.tarragonlug.decision.request;

import org.tarragonlug.decision.Execution;

/** How an attempt at a backend server failed. */
public enum AttemptFailure {
    /** The connection could not be established, so nothing was sent. */
    NOT_SENT(Execution.NOT_RUN),
    /** The server rejected the attempt because the server is overloaded. */
    REFUSED_OVERLOADED(Execution.NOT_RUN),
    /** The server rejected the attempt because the server is about to stop. */
    REFUSED_LEAVING(Execution.NOT_RUN),
    /** The server rejected the attempt because it does not have the artifact loaded. */
    REFUSED_NOT_LOADED(Execution.NOT_RUN),
    /** The server rejected the request itself as invalid. */
    REJECTED(Execution.NOT_RUN),
    /** The server answered with a status that finds fault with the request, without a statement. */
    REJECTED_WITHOUT_STATEMENT(Execution.MAY_HAVE_RUN),
    /** The connection was lost after the request had been sent. */
    CONNECTION_LOST(Execution.MAY_HAVE_RUN),
    /** The attempt made no progress within the allowed time. */
    SILENT(Execution.MAY_HAVE_RUN),
    /** The server reported a failure while it ran the request. */
    SERVER_ERROR(Execution.MAY_HAVE_RUN);

    private final Execution execution;

    AttemptFailure(Execution execution) {
        this.execution = execution;
    }

    /** Returns whether an attempt that failed in this way may have run. */
    public Execution execution() {
        return execution;
    }
}
