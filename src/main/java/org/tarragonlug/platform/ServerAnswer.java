package org.tarragonlug.platform;

import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;

/**
 * The head of a server's answer, decoded.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers; empty text if none
 * @param sealed whether it carries the server's proof of origin
 * @param load load that the server states
 * @param rejection how the server turned the request away; empty if it may have run
 * @param encoded whether the body is not the server's own bytes
 */
public record ServerAnswer(
        int status,
        String requestId,
        boolean sealed,
        Optional<ReportedLoad> load,
        Optional<Rejection> rejection,
        boolean encoded) {
    private static final String REQUEST_ID = "tarragonlug-request-id";
    private static final String SEAL = "tarragonlug-response-seal";
    private static final String LOAD = "tarragonlug-server-load";
    private static final String NOT_EXECUTED = "tarragonlug-not-executed";
    private static final String INSTANCE = "tarragonlug-instance-id";
    private static final int MISDIRECTED = 421;
    private static final int LOAD_PARTS = 3;

    /**
     * Decodes the head of an answer.
     *
     * @param status HTTP status
     * @param headers headers, names in lower case
     * @param expectedServer id of the server that was addressed
     */
    public static ServerAnswer decode(
            int status, Map<String, String> headers, String expectedServer) {
        return new ServerAnswer(
                status,
                headers.getOrDefault(REQUEST_ID, ""),
                headers.containsKey(SEAL),
                load(headers.get(LOAD)),
                rejection(status, headers, expectedServer),
                headers.containsKey("content-encoding"));
    }

    private static Optional<Rejection> rejection(
            int status, Map<String, String> headers, String expectedServer) {
        if (status == MISDIRECTED) {
            String instance = headers.get(INSTANCE);
            boolean other = instance != null && !instance.equals(expectedServer);
            return Optional.of(other ? Rejection.WRONG_SERVER : Rejection.MODEL_ABSENT);
        }
        return headers.containsKey(NOT_EXECUTED) ? Optional.of(Rejection.BUSY) : Optional.empty();
    }

    private static Optional<ReportedLoad> load(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] parts = text.split(",");
        if (parts.length != LOAD_PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new ReportedLoad(
                            Integer.parseInt(parts[0].trim()),
                            Integer.parseInt(parts[1].trim()),
                            Integer.parseInt(parts[2].trim())));
        } catch (NumberFormatException notNumeric) {
            // A load that can not be read is no load; own requests still count.
            return Optional.empty();
        }
    }
}
