package org.tarragonlug.instance;

import java.net.ConnectException;
import java.util.concurrent.CompletionException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/** Extracts error information from the failure of a stage. */
final class Failures {
    private Failures() {}

    /** Returns the error code of a failure; {@code INTERNAL} if the failure has no code. */
    static ErrorCode code(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof TarragonlugException typed ? typed.code() : ErrorCode.INTERNAL;
    }

    /** Returns whether a call failed because no process listens on the address. */
    static boolean isConnectionRefused(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            boolean connectFailed = cause instanceof ConnectException;
            if (connectFailed && String.valueOf(cause.getMessage()).contains("refused")) {
                return true;
            }
        }
        return false;
    }
}
