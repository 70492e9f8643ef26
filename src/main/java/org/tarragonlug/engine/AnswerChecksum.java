package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.tarragonlug.id.ArtifactId;

/**
 * The checksum over a request and its answer. A caller can use it to detect an incomplete answer or
 * an answer to another request.
 *
 * <p>The checksum is the hexadecimal SHA-256 of the artifact, the messages, the prompt, {@code
 * max_tokens} and the complete text of the answer; each part is followed by a zero byte. Other
 * fields of the body are not included, because they change on the way to the engine.
 */
public final class AnswerChecksum {
    private AnswerChecksum() {}

    /**
     * Computes the checksum.
     *
     * @param artifact the model or adapter that generated the answer
     * @param body the body of the request
     * @param answer the complete text of the answer
     * @return 64 hexadecimal digits
     */
    public static String of(ArtifactId artifact, JsonNode body, String answer) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        add(digest, artifact.toString());
        add(digest, body.path("messages").toString());
        add(digest, body.path("prompt").toString());
        add(digest, body.path("max_tokens").toString());
        add(digest, answer);
        return HexFormat.of().formatHex(digest.digest());
    }

    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }
}
