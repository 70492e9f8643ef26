package org.tarragonlug.http;

/** Why no whole HTTP answer came. */
public final class HttpFailure extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the call. */
    public enum Kind {
        /** No connection could be made, or nothing was written: the call had no effect. */
        NOT_SENT,
        /** The connection broke after the call may have been sent. */
        CONNECTION_LOST,
        /** The time limit passed after the call may have been sent. */
        TIMED_OUT,
        /** The answer was larger than allowed. */
        ANSWER_TOO_LARGE,
        /** The answer was not valid HTTP. */
        ANSWER_INVALID
    }

    private final Kind kind;

    /**
     * Creates the failure.
     *
     * @param kind what is known
     * @param detail one line
     * @param cause the underlying failure; may be null
     */
    public HttpFailure(Kind kind, String detail, Throwable cause) {
        super(detail, cause);
        this.kind = kind;
    }

    /** Returns what is known about the call. */
    public Kind kind() {
        return kind;
    }

    /** Tells whether the call certainly had no effect. */
    public boolean notSent() {
        return kind == Kind.NOT_SENT;
    }
}
