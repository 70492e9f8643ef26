package org.tarragonlug.decision.quarantine;

import java.util.List;
import org.tarragonlug.id.RequestTrait;

/**
 * The traits of a request that was at a server when the server was lost, and of whose answer no
 * content had arrived.
 *
 * @param content the trait that only equal requests share
 * @param parts the shared parts of the prompt, in the order of the prompt
 */
public record LostRequest(RequestTrait content, List<RequestTrait> parts) {
    public LostRequest {
        parts = List.copyOf(parts);
    }
}
