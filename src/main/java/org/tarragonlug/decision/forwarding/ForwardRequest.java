package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.id.ModelKey;

/**
 * The properties of a request on which forwarding decisions depend.
 *
 * @param key number of the request, unique within the process; the caller's request id does not
 *     serve as key because callers may reuse their ids
 * @param callerRequestId the request id that the caller sent; written to the logs
 * @param host host that the request names, without port
 * @param path path without query
 * @param budget how long the caller waits, counted from arrival; empty if the caller did not say
 * @param model the required model and adapter; empty for a plain service
 * @param prefix prompt prefix that the request shares with others
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum number of tokens to generate
 * @param lastEventId id of the last stream event that the caller has received; negative for a new
 *     stream
 * @param contentHash hash of everything that makes two requests equal
 * @param credential what the request states about its account
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
        long lastEventId,
        long contentHash,
        Credential credential) {
    /** Creates a request without a credential. */
    public ForwardRequest(
            long key,
            String callerRequestId,
            String host,
            String path,
            Optional<Duration> budget,
            Optional<ModelKey> model,
            PromptPrefix prefix,
            int promptTokens,
            int outputTokens,
            long lastEventId,
            long contentHash) {
        this(
                key,
                callerRequestId,
                host,
                path,
                budget,
                model,
                prefix,
                promptTokens,
                outputTokens,
                lastEventId,
                contentHash,
                Credential.ABSENT);
    }

    /** Returns the number of tokens that the request takes up in a server's memory at most. */
    public int tokens() {
        return promptTokens + outputTokens;
    }
}
