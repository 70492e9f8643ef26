package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.id.ModelKey;

/**
 * What the decisions need to know of a request.
 *
 * @param key unique within the process, since callers may repeat their ids
 * @param callerRequestId the id that the caller gave; goes to the logs
 * @param host host it names, without port
 * @param path path without query
 * @param budget how long the caller waits, from arrival; empty if not said
 * @param model the model and adapter that it needs; empty for a plain service
 * @param prefix shared prefix of its prompt
 * @param promptTokens length of its prompt
 * @param outputTokens most tokens to generate
 * @param lastEventId last event that the caller has; negative if it starts anew
 */
public record ForwardRequest(
        long key,
        String callerRequestId,
        String host,
        String path,
        Optional<Duration> budget,
        Optional<ModelKey> model,
        PromptPrefix prefix,
        int promptTokens,
        int outputTokens,
        long lastEventId) {}
