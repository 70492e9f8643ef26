package org.tarragonlug.decision;

/** Whether a request ran on a backend server, as told to the caller with every error. */
public enum Execution {
    /** The request certainly did not run and will not. */
    NOT_RUN("not run"),
    /** The request ran to its end. */
    RAN("ran"),
    /** It is unknown whether the request ran. */
    MAY_HAVE_RUN("may have run");

    private final String text;

    Execution(String text) {
        this.text = text;
    }

    /** Returns the wording used towards callers. */
    public String text() {
        return text;
    }
}
