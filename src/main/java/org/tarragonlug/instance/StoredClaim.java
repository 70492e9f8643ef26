package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Instant;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.request.ClaimState;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.plainservice.ServiceAnswer;
import org.tarragonlug.runtime.Json;

/**
 * The stored form of a claim.
 *
 * @param state its state
 * @param operation the operation that made it
 * @param process the process that made it
 * @param bodyHash hash of the body it was made for
 * @param madeAt when, by the clock of the holder
 * @param answer the recorded answer; empty unless the state is DONE
 */
record StoredClaim(
        ClaimState state,
        OperationId operation,
        ProcessId process,
        Fingerprint bodyHash,
        Instant madeAt,
        Optional<ServiceAnswer> answer) {
    private static final int FORMAT_VERSION = 1;

    /** Largest body that is recorded, bytes; a larger one is recorded by its status alone. */
    private static final int MAXIMUM_RECORDED_BODY_BYTES = 64 << 10;

    /** Returns a copy in another state, with the answer for DONE. */
    StoredClaim withState(ClaimState newState, Optional<ServiceAnswer> newAnswer) {
        return new StoredClaim(newState, operation, process, bodyHash, madeAt, newAnswer);
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("formatVersion", FORMAT_VERSION);
        node.put("state", state.name());
        node.put("operation", operation.value());
        node.put("holder", process.value());
        node.put("body", bodyHash.value());
        node.put("madeAt", madeAt.toString());
        answer.ifPresent(recorded -> writeAnswer(node.putObject("answer"), recorded));
        return node;
    }

    private static void writeAnswer(ObjectNode node, ServiceAnswer answer) {
        node.put("status", answer.status());
        String type = answer.headers().getOrDefault("content-type", "");
        node.put("contentType", type);
        boolean bodyRecorded = answer.body().length <= MAXIMUM_RECORDED_BODY_BYTES;
        node.put("whole", bodyRecorded);
        if (bodyRecorded) {
            node.put("body", Base64.getEncoder().encodeToString(answer.body()));
        }
    }

    /**
     * Reads a stored claim.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static StoredClaim fromJson(JsonNode node) {
        Optional<ServiceAnswer> answer = Optional.empty();
        if (node.path("answer").isObject()) {
            answer = Optional.of(readAnswer(node.path("answer")));
        }
        return new StoredClaim(
                ClaimState.valueOf(node.path("state").asText()),
                new OperationId(node.path("operation").asText()),
                new ProcessId(node.path("holder").asText()),
                new Fingerprint(node.path("body").asText()),
                Instant.parse(node.path("madeAt").asText()),
                answer);
    }

    private static ServiceAnswer readAnswer(JsonNode node) {
        byte[] body = new byte[0];
        try {
            body = node.path("body").binaryValue();
        } catch (IOException malformed) {
            throw new IllegalArgumentException("the recorded body is malformed", malformed);
        }
        String type = node.path("contentType").asText();
        Map<String, String> headers = type.isEmpty() ? Map.of() : Map.of("content-type", type);
        return new ServiceAnswer(
                node.path("status").asInt(), headers, body == null ? new byte[0] : body);
    }
}
