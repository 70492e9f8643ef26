package org.tarragonlug.measure;

import org.tarragonlug.decision.request.RequestDescription;
import org.tarragonlug.id.RequestId;

/**
 * A request with the truth that only the simulated servers know.
 *
 * @param id unique id
 * @param description what the coordinator sees
 * @param tokens length of the answer; for a plain service its time in token times
 * @param crashesServer whether it takes down the server that runs it
 */
public record SimulatedRequest(
        RequestId id, RequestDescription description, int tokens, boolean crashesServer) {
    /** Returns the token at an offset, a known function of the request. */
    public String token(int offset) {
        return id.value() + "#" + offset;
    }

    /** Returns the engine's checksum over request and answer. */
    public String checksum() {
        return id.value() + "=" + tokens;
    }
}
