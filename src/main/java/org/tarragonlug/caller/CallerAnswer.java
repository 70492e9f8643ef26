package org.tarragonlug.caller;

import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.plainservice.ServiceAnswer;

/**
 * The answer to one request. Calls come from one thread at a time; calls after an end, or after the
 * caller has gone, have no effect.
 */
public interface CallerAnswer {
    /**
     * Adds a token.
     *
     * @param text its text
     */
    void addToken(String text);

    /**
     * Ends a whole answer of a model.
     *
     * @param tokens number of tokens in it
     * @param checksum the engine's checksum over request and answer
     */
    void complete(int tokens, String checksum);

    /** Answers with the answer of a plain service. */
    void sendServiceAnswer(ServiceAnswer answer);

    /**
     * Ends with an error; in the middle of a stream it is the last event.
     *
     * @param code the kind of error
     * @param execution whether the request ran
     * @param retryAfter when to come back, if that helps
     * @param detail what was found, one line
     */
    void refuse(ErrorCode code, Execution execution, Optional<Duration> retryAfter, String detail);
}
