package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;

/**
 * An error answer of a model engine: {@code {"error":{"code":..., "message":...}}}.
 *
 * <p>A refusal counts as "not run" only if its code says so or the status can have no other
 * meaning. Any other server error may have come after the request ran.
 *
 * @param status HTTP status
 * @param code typed code; empty if the body has none
 * @param message one line
 */
record EngineError(int status, String code, String message) {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int LONGEST_MESSAGE = 200;

    static EngineError read(int status, byte[] body) {
        try {
            JsonNode error = JsonFields.object(JsonFields.parse(body), "error");
            String message = error.path("message").asText();
            String shortened = message.substring(0, Math.min(LONGEST_MESSAGE, message.length()));
            return new EngineError(status, JsonFields.text(error, "code"), shortened);
        } catch (RuntimeException e) {
            return new EngineError(status, "", "the error is not typed");
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
                return untypedFailure();
        }
    }

    private AttemptFailure untypedFailure() {
        if (status == TOO_MANY_REQUESTS) {
            return AttemptFailure.REFUSED_OVERLOADED;
        }
        boolean rejected = status >= 400 && status < 500 && status != REQUEST_TIMEOUT;
        return rejected ? AttemptFailure.REJECTED : AttemptFailure.SERVER_ERROR;
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
        return "status " + status + " " + code + ": " + message;
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
