package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.regex.Pattern;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;

/**
 * An error answer of a model engine: {@code {"error":{"code":..., "message":...}}}.
 *
 * <p>An error answer counts as "not run" only if its code says so. A status alone says nothing of
 * that, so after any other error the request may have run.
 *
 * <p>The message is discarded, because engines quote the request in it and requests must not be
 * logged.
 *
 * @param status HTTP status
 * @param code error code; empty if the body has none or a malformed one
 */
record EngineError(int status, String code) {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final Pattern CODE = Pattern.compile("[a-z_]{1,40}");

    static EngineError read(int status, byte[] body) {
        try {
            JsonNode error = JsonFields.object(JsonFields.parse(body), "error");
            String code = JsonFields.text(error, "code");
            return new EngineError(status, CODE.matcher(code).matches() ? code : "");
        } catch (RuntimeException e) {
            return new EngineError(status, "");
        }
    }

    AttemptFailure attemptFailure() {
        switch (code) {
            case EngineProtocol.OVERLOADED:
                return AttemptFailure.REFUSED_OVERLOADED;
            case EngineProtocol.LEAVING:
                return AttemptFailure.REFUSED_LEAVING;
            case EngineProtocol.NOT_LOADED:
                return AttemptFailure.REFUSED_NOT_LOADED;
            case EngineProtocol.INVALID_REQUEST:
                return AttemptFailure.REJECTED;
            default:
                return failureByStatus();
        }
    }

    private AttemptFailure failureByStatus() {
        boolean rejected =
                status >= 400
                        && status < 500
                        && status != REQUEST_TIMEOUT
                        && status != TOO_MANY_REQUESTS;
        return rejected ? AttemptFailure.REJECTED_WITHOUT_STATEMENT : AttemptFailure.SERVER_ERROR;
    }

    OrderOutcome orderOutcome() {
        switch (code) {
            case EngineProtocol.OLD_FENCE:
                return OrderOutcome.REFUSED_OLD_FENCE;
            case EngineProtocol.LEAVING:
                return OrderOutcome.REFUSED_LEAVING;
            case EngineProtocol.OUT_OF_MEMORY:
            case EngineProtocol.LOAD_FAILED:
            case EngineProtocol.IN_USE:
            case EngineProtocol.OVERLOADED:
            case EngineProtocol.NOT_LOADED:
            case EngineProtocol.INVALID_REQUEST:
                return OrderOutcome.FAILED;
            default:
                boolean refused = status >= 400 && status < 500 && status != REQUEST_TIMEOUT;
                return refused ? OrderOutcome.FAILED : OrderOutcome.UNKNOWN;
        }
    }

    String detail() {
        return "status " + status + ", code " + (code.isEmpty() ? "none" : code);
    }

    static AttemptFailure attemptFailure(HttpFailure failure) {
        switch (failure.kind()) {
            case NOT_SENT:
                return AttemptFailure.NOT_SENT;
            case TIMED_OUT:
                return AttemptFailure.SILENT;
            case CONNECTION_LOST:
                return AttemptFailure.CONNECTION_LOST;
            default:
                return AttemptFailure.SERVER_ERROR;
        }
    }
}
