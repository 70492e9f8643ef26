package org.tarragonlug.decision;

/** Whether a request ran on a backend server. Every error answer to a caller states this. */
public enum Execution {
    /** The request certainly did not run and will not run later. */
    NOT_RUN("not run"),
    /** The request ran to completion. */
    RAN("ran"),
    /** It is unknown whether the request ran. */
    MAY_HAVE_RUN("may have run");

    private final String text;

    Execution(String text) {
        this.text = text;
    }

    /** Returns the text used in answers to callers. */
    public String text() {
        return text;
    }
}
