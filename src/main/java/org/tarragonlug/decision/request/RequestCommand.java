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
 * The commands of {@link RequestCoordinator}. Exactly one of {@link CompleteAnswer}, {@link
 * ForwardAnswer}, {@link ForwardRecordedAnswer} and {@link Refuse} ends each request whose caller
 * has not gone; {@link DiscardRequest} ends the others.
 */
public sealed interface RequestCommand {
    /**
     * Starts a generation over a connection that no silent attempt uses.
     *
     * @param attempt names the attempt
     * @param request whose body to send
     * @param server where to
     * @param artifact the loaded artifact to use
     * @param resumeOffset tokens already forwarded; generation continues after them
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

    /** Calls a plain service; the call is sent at most once. */
    record SendCall(AttemptId attempt, RequestId request, ServerId server, Duration remaining)
            implements RequestCommand {}

    /** Stops an attempt at the server; its late events may still come and are ignored. */
    record CancelAttempt(AttemptId attempt, ServerId server) implements RequestCommand {}

    /** Passes a token to the caller; offsets of one request are 0, 1, 2 and so on. */
    record ForwardToken(RequestId request, int offset, String text) implements RequestCommand {}

    /** Ends a generation whose tokens have all been forwarded. */
    record CompleteAnswer(RequestId request, int tokens, String checksum)
            implements RequestCommand {}

    /** Passes the answer of a plain service to the caller. */
    record ForwardAnswer(RequestId request, AttemptId attempt, int status)
            implements RequestCommand {}

    /** Answers with the status and body recorded in the claim. */
    record ForwardRecordedAnswer(RequestId request, ClaimKey key, int status)
            implements RequestCommand {}

    /**
     * Refuses a request, or breaks off its answer if tokens were forwarded.
     *
     * @param request the request
     * @param reason why
     * @param execution whether it ran
     * @param retryAfter when sending it again may help; empty if it would not
     * @param detail one line
     */
    record Refuse(
            RequestId request,
            RefusalReason reason,
            Execution execution,
            Optional<Duration> retryAfter,
            String detail)
            implements RequestCommand {}

    /** Drops what the edge holds for a request whose caller has gone. */
    record DiscardRequest(RequestId request) implements RequestCommand {}

    /**
     * Creates the claim in state STARTED, conditional on absence. The edge answers each {@link
     * CreateClaim} and {@link TakeOverClaim} with exactly one claim event, however late.
     */
    record CreateClaim(RequestId request, ClaimKey key, OperationId operation, Fingerprint bodyHash)
            implements RequestCommand {}

    /** Takes a released claim by an update conditional on its version. */
    record TakeOverClaim(
            RequestId request,
            ClaimKey key,
            OperationId operation,
            Fingerprint bodyHash,
            String version)
            implements RequestCommand {}

    /**
     * Rewrites the claim to DONE with the attempt's answer. Precedes the command that ends the
     * request; the edge holds the body until it is written.
     */
    record FinishClaim(
            RequestId request, AttemptId attempt, ClaimKey key, OperationId operation, int status)
            implements RequestCommand {}

    /** Rewrites the claim to RELEASED if it holds the operation; the request was not sent. */
    record ReleaseClaim(ClaimKey key, OperationId operation) implements RequestCommand {}

    /** Tells the decider what is wanted; repeated while there is any demand. */
    record ReportDemand(PoolName pool, Demand demand) implements RequestCommand {}

    /** Fetches a server's report over a new connection now. */
    record CheckServer(ServerId server) implements RequestCommand {}

    /** Tells the peers which requests ran on a lost server. */
    record AnnounceSuspects(ServerId server, List<Fingerprint> fingerprints)
            implements RequestCommand {
        public AnnounceSuspects {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Tells the peers that a request is quarantined, and stores it. */
    record QuarantineFingerprint(Fingerprint fingerprint) implements RequestCommand {}

    /** Nothing is in progress after {@link RequestEvent.DrainStarted}; sent once. */
    record Drained() implements RequestCommand {}
}
