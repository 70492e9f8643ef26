package org.tarragonlug.instance;

import java.net.ConnectException;
import java.util.concurrent.CompletionException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/** Reads the typed error out of a failed stage. */
final class Failures {
    private Failures() {}

    /** Returns the code of a failure; {@code INTERNAL} for one without a code. */
    static ErrorCode code(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof TarragonlugException typed ? typed.code() : ErrorCode.INTERNAL;
    }

    /** Tells whether a call failed because nothing listens at the address. */
    static boolean isConnectionRefused(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            boolean connecting = cause instanceof ConnectException;
            if (connecting && String.valueOf(cause.getMessage()).contains("refused")) {
                return true;
            }
        }
        return false;
    }
}
