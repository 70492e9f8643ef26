package org.tarragonlug.caller;

import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.plainservice.ServiceAnswer;

/**
 * The answer to one request. The methods must not be called concurrently. Calls have no effect
 * after the answer has ended or the caller has disconnected.
 */
public interface CallerAnswer {
    /**
     * Adds a token to the answer of a model.
     *
     * @param text the text of the token
     */
    void addToken(String text);

    /**
     * Ends the answer of a model as complete.
     *
     * @param tokens number of tokens in the answer
     * @param checksum the engine's checksum over request and answer
     */
    void complete(int tokens, String checksum);

    /** Sends the answer of a plain service as the answer to the request. */
    void sendServiceAnswer(ServiceAnswer answer);

    /**
     * Ends the answer with an error. If a stream has already started, the error is its last event.
     *
     * @param code the error code
     * @param execution whether the request ran
     * @param retryAfter time after which a retry may succeed; empty if a retry does not help
     * @param detail description of the error, one line
     */
    void refuse(ErrorCode code, Execution execution, Optional<Duration> retryAfter, String detail);
}
