package org.tarragonlug.http;

/** The reason why a call got no complete HTTP answer. */
public final class HttpFailure extends Exception {
    private static final long serialVersionUID = 1L;

    /** Kinds of failure, by what is known about the execution of the call. */
    public enum Kind {
        /** No connection could be opened, or nothing was written: the call had no effect. */
        NOT_SENT,
        /**
         * A kept connection could not be used because it had carried the call before, and no other
         * one could be opened: the call had no effect.
         */
        NO_OTHER_CONNECTION,
        /** The caller forbade it when there was a connection: the call had no effect. */
        WITHDRAWN,
        /** The connection broke after the call may have been sent. */
        CONNECTION_LOST,
        /** The timeout expired after the call may have been sent. */
        TIMED_OUT,
        /** The answer exceeded {@link HttpLimits#maximumAnswerBytes}. */
        ANSWER_TOO_LARGE,
        /** The answer was not valid HTTP, or its content was malformed. */
        ANSWER_INVALID,
        /** The answer broke off, and the server went on with a second one to the same call. */
        ANSWER_REPEATED
    }

    private final Kind kind;

    /**
     * Creates the failure.
     *
     * @param kind the kind of failure
     * @param detail description of the failure, one line
     * @param cause the underlying failure; may be null
     */
    public HttpFailure(Kind kind, String detail, Throwable cause) {
        super(detail, cause);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }

    /** Tells whether the call certainly had no effect. */
    public boolean notSent() {
        return kind == Kind.NOT_SENT || kind == Kind.NO_OTHER_CONNECTION || kind == Kind.WITHDRAWN;
    }
}
