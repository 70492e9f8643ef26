package org.tarragonlug.error;

/** The checked exception of the system. Its error code gives the meaning and the remedy. */
public class TarragonlugException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String detail;

    /**
     * Creates the exception.
     *
     * @param code the error code
     * @param detail description of the specific fault, in one line, without secrets or request
     *     bodies
     */
    public TarragonlugException(ErrorCode code, String detail) {
        super(code.message(detail));
        this.code = code;
        this.detail = detail;
    }

    /**
     * Creates the exception with a cause.
     *
     * @param code the error code
     * @param detail description of the specific fault, in one line, without secrets or request
     *     bodies
     * @param cause the underlying failure
     */
    public TarragonlugException(ErrorCode code, String detail, Throwable cause) {
        super(code.message(detail), cause);
        this.code = code;
        this.detail = detail;
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the description of the specific fault, without the meaning and remedy of the code.
     */
    public String detail() {
        return detail;
    }
}
