package org.tarragonlug.decision.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.Execution;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.capacity.Demand;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ClaimKey;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/**
 * Commands of {@link RequestCoordinator}. Each request ends with exactly one of {@link
 * CompleteAnswer}, {@link ForwardAnswer}, {@link ForwardRecordedAnswer} and {@link Refuse}, or with
 * {@link DiscardRequest} if its caller has disconnected.
 */
public sealed interface RequestCommand {
    /**
     * Starts a generation over a connection that no stalled attempt uses.
     *
     * @param attempt id of the attempt
     * @param request request whose body is sent
     * @param server server to send the request to
     * @param artifact the loaded artifact to use
     * @param resumeOffset number of tokens already forwarded; generation continues after them
     * @param priority priority in the engine's batch
     * @param remaining time until the caller's deadline
     */
    record SendGeneration(
            AttemptId attempt,
            RequestId request,
            ServerId server,
            ArtifactId artifact,
            int resumeOffset,
            Priority priority,
            Duration remaining)
            implements RequestCommand {}

    /** Sends a request to a plain service; the call is made at most once. */
    record SendCall(AttemptId attempt, RequestId request, ServerId server, Duration remaining)
            implements RequestCommand {}

    /**
     * Cancels an attempt at its server. Events of the attempt may still arrive afterwards and are
     * ignored.
     */
    record CancelAttempt(AttemptId attempt, ServerId server) implements RequestCommand {}

    /** Forwards a token to the caller. The offsets within one request are 0, 1, 2 and so on. */
    record ForwardToken(RequestId request, int offset, String text) implements RequestCommand {}

    /** Ends the answer of a generation after all its tokens have been forwarded. */
    record CompleteAnswer(RequestId request, int tokens, String checksum)
            implements RequestCommand {}

    /** Forwards the answer of a plain service to the caller. */
    record ForwardAnswer(RequestId request, AttemptId attempt, int status)
            implements RequestCommand {}

    /** Answers the request with the status and body recorded in the claim. */
    record ForwardRecordedAnswer(RequestId request, ClaimKey key, int status)
            implements RequestCommand {}

    /**
     * Refuses a request, or breaks off its answer if tokens have been forwarded.
     *
     * @param request the request
     * @param reason why the request is refused
     * @param execution whether the request ran
     * @param retryAfter how long to wait before another try may succeed; empty if a retry would not
     *     help
     * @param detail further information in one line
     */
    record Refuse(
            RequestId request,
            RefusalReason reason,
            Execution execution,
            Optional<Duration> retryAfter,
            String detail)
            implements RequestCommand {}

    /** Discards everything that the driver holds for a request whose caller has disconnected. */
    record DiscardRequest(RequestId request) implements RequestCommand {}

    /**
     * Creates the claim in state STARTED, provided that no claim with the key exists. The driver
     * answers each {@link CreateClaim} and {@link TakeOverClaim} with exactly one claim event,
     * however late.
     */
    record CreateClaim(RequestId request, ClaimKey key, OperationId operation, Fingerprint bodyHash)
            implements RequestCommand {}

    /** Takes over a released claim by an update that is conditional on the claim's version. */
    record TakeOverClaim(
            RequestId request,
            ClaimKey key,
            OperationId operation,
            Fingerprint bodyHash,
            String version)
            implements RequestCommand {}

    /**
     * Changes the claim to state DONE and stores the attempt's answer in the claim. This command
     * precedes the command that ends the request; the driver keeps the body of the answer until the
     * claim is written.
     */
    record FinishClaim(
            RequestId request, AttemptId attempt, ClaimKey key, OperationId operation, int status)
            implements RequestCommand {}

    /**
     * Changes the claim to state RELEASED, provided that the claim still holds the operation. The
     * request was not sent.
     */
    record ReleaseClaim(ClaimKey key, OperationId operation) implements RequestCommand {}

    /** Reports the demand for an artifact to the decider. Repeated while there is any demand. */
    record ReportDemand(PoolName pool, Demand demand) implements RequestCommand {}

    /** Fetches a report from a server immediately over a new connection. */
    record CheckServer(ServerId server) implements RequestCommand {}

    /** Announces to the peers which requests ran on a lost server. */
    record AnnounceSuspects(ServerId server, List<Fingerprint> fingerprints)
            implements RequestCommand {
        public AnnounceSuspects {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Announces to the peers that a request is quarantined, and stores the quarantine. */
    record QuarantineFingerprint(Fingerprint fingerprint) implements RequestCommand {}

    /**
     * Reports that no request is in progress any more after {@link RequestEvent.DrainStarted}. Sent
     * once.
     */
    record Drained() implements RequestCommand {}
}
