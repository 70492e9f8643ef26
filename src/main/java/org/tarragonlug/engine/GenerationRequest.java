package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;

/**
 * A request to generate tokens on one server.
 *
 * @param attempt id of the attempt, by which it can be cancelled
 * @param artifact the loaded model or adapter to use
 * @param path the caller's path, such as {@code /v1/chat/completions}
 * @param body the caller's body
 * @param priority priority in the engine's batch
 * @param resumeOffset number of tokens that the caller already has; generation continues after them
 * @param remaining time left until the caller's deadline
 */
public record GenerationRequest(
        AttemptId attempt,
        ArtifactId artifact,
        String path,
        JsonNode body,
        Priority priority,
        int resumeOffset,
        Duration remaining) {}
