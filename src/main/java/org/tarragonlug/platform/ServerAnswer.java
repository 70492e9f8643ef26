package org.tarragonlug.platform;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerNotice;

/**
 * The decoded head of a server's answer.
 *
 * @param status HTTP status
 * @param requestId id of the answered request; empty if the answer has none
 * @param sealed whether the answer has a seal, which proves that it comes from the server
 * @param load the load that the server states; empty if absent or unreadable
 * @param rejection why the server did not run the request; empty if the request may have run
 * @param encoded whether the body has a content encoding, so that it is not the server's own bytes
 * @param notice what the server says about itself
 */
public record ServerAnswer(
        int status,
        String requestId,
        boolean sealed,
        Optional<ReportedLoad> load,
        Optional<Rejection> rejection,
        boolean encoded,
        ServerNotice notice) {
    /** Id of the answered request. */
    public static final String REQUEST_ID = "tarragonlug-request-id";

    /** Proof that the answer comes from the server. */
    public static final String SEAL = "tarragonlug-response-seal";

    /** Running and waiting requests and slots, separated by commas. */
    public static final String LOAD = "tarragonlug-server-load";

    /** Statement that the server did not run the request. */
    public static final String NOT_EXECUTED = "tarragonlug-not-executed";

    /** Id of the server. */
    public static final String INSTANCE = "tarragonlug-instance-id";

    private static final int MISDIRECTED = 421;

    /** Statuses by which callers learn that their request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, MISDIRECTED, 429, 503);

    /**
     * Decodes the head of an answer.
     *
     * @param status HTTP status
     * @param headers headers of the answer, names in lower case
     * @param expectedServer id of the server to which the request was sent
     */
    public static ServerAnswer decode(
            int status, Map<String, String> headers, String expectedServer) {
        ServerLoadDecoder.Decoded load = ServerLoadDecoder.decode(headers.get(LOAD));
        return new ServerAnswer(
                status,
                headers.getOrDefault(REQUEST_ID, ""),
                headers.containsKey(SEAL),
                load.load(),
                rejection(status, headers, expectedServer),
                headers.containsKey("content-encoding"),
                ServerNoticeDecoder.decode(status, headers).withFaults(load.faults()));
    }

    /**
     * Returns whether a caller would take the status for a promise that the request has not run.
     */
    public boolean promisesNotRun() {
        return promisesNotRun(status);
    }

    /** Returns whether a caller would take a status for such a promise. */
    public static boolean promisesNotRun(int status) {
        return NOT_RUN.contains(status);
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
}
