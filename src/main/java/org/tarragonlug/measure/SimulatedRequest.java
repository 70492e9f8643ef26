package org.tarragonlug.measure;

import org.tarragonlug.decision.request.RequestDescription;
import org.tarragonlug.id.RequestId;

/**
 * A request with properties that only the simulated servers know.
 *
 * @param id unique id
 * @param description the part of the request that the coordinator sees
 * @param tokens length of the answer in tokens; at a plain service, the processing time as a
 *     multiple of the server's time per token
 * @param crashesServer whether the request crashes the server that runs it
 */
public record SimulatedRequest(
        RequestId id, RequestDescription description, int tokens, boolean crashesServer) {
    /** Returns the token at an offset, which depends only on the request's id and the offset. */
    public String token(int offset) {
        return id.value() + "#" + offset;
    }

    /** Returns the checksum that the engine computes over the request and the answer. */
    public String checksum() {
        return id.value() + "=" + tokens;
    }
}
