package org.tarragonlug.error;

/** The checked exception of the system; its code says what is wrong and what remedies it. */
public class TarragonlugException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String detail;

    /**
     * Creates the exception.
     *
     * @param code the kind of error
     * @param detail what was found, one line without secrets or request bodies
     */
    public TarragonlugException(ErrorCode code, String detail) {
        super(code.message(detail));
        this.code = code;
        this.detail = detail;
    }

    /**
     * Creates the exception with a cause.
     *
     * @param code the kind of error
     * @param detail what was found, one line without secrets or request bodies
     * @param cause the underlying failure
     */
    public TarragonlugException(ErrorCode code, String detail, Throwable cause) {
        super(code.message(detail), cause);
        this.code = code;
        this.detail = detail;
    }

    /** Returns the kind of error. */
    public ErrorCode code() {
        return code;
    }

    /** Returns what was found, without meaning and remedy of the code. */
    public String detail() {
        return detail;
    }
}
