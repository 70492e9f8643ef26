package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** The events of {@link RequestCoordinator}. */
public sealed interface RequestEvent {
    /**
     * A request was received completely.
     *
     * @param request unique within the process
     * @param description what is known about it
     */
    record RequestArrived(RequestId request, RequestDescription description)
            implements RequestEvent {}

    /** The caller closed its connection; it needs no answer any more. */
    record CallerDisconnected(RequestId request) implements RequestEvent {}

    /**
     * The decider's view of the replicas of an artifact; replaces the previous one.
     *
     * @param group the group of the servers
     * @param artifact the model or adapter
     * @param ready servers that have it loaded
     * @param coldStart what the decider does about further replicas
     * @param expectedReadyAt when a replica is expected to be ready, or, for {@link
     *     ColdStart#UNAVAILABLE}, when to ask again
     */
    record ReplicasChanged(
            ServerGroup group,
            ArtifactId artifact,
            Set<ServerId> ready,
            ColdStart coldStart,
            Optional<Instant> expectedReadyAt)
            implements RequestEvent {
        public ReplicasChanged {
            ready = Set.copyOf(ready);
        }
    }

    /** The servers of a group according to the instance list; replaces the previous ones. */
    record ServersChanged(ServerGroup group, List<ServerDescription> servers)
            implements RequestEvent {
        public ServersChanged {
            servers = List.copyOf(servers);
        }
    }

    /**
     * A report fetched from a server over a new connection.
     *
     * @param server the server
     * @param incarnation changes when the server's process restarts
     * @param leaving whether the server is about to stop
     * @param running requests running there
     * @param queued requests queued there
     * @param loaded artifacts ready to serve; empty for a plain service
     * @param fetchedAt when the report was asked for; older reports than the last are ignored
     */
    record ServerReported(
            ServerId server,
            String incarnation,
            boolean leaving,
            int running,
            int queued,
            Optional<Set<ArtifactId>> loaded,
            Instant fetchedAt)
            implements RequestEvent {
        public ServerReported {
            loaded = loaded.map(Set::copyOf);
        }
    }

    /** A server did not answer a report request over a new connection in time. */
    record ServerUnreachable(ServerId server) implements RequestEvent {}

    /**
     * The process of a server is gone: new connections are refused.
     *
     * @param server the server
     * @param incarnation the incarnation that was lost; empty if unknown
     */
    record ServerLost(ServerId server, Optional<String> incarnation) implements RequestEvent {}

    /**
     * An engine's cache event.
     *
     * @param server the server
     * @param prefixHash hash of the prompt prefix
     * @param cached true if it was cached, false if it was evicted
     */
    record PrefixCacheChanged(ServerId server, long prefixHash, boolean cached) implements RequestEvent {}

    /**
     * A token of an attempt.
     *
     * @param attempt the attempt
     * @param offset position in the whole answer, from 0
     * @param text its text
     */
    record AttemptToken(AttemptId attempt, int offset, String text) implements RequestEvent {}

    /**
     * An attempt's generation ended.
     *
     * @param attempt the attempt
     * @param tokens number of tokens of the whole answer
     * @param checksum the engine's checksum over request and answer
     */
    record AttemptCompleted(AttemptId attempt, int tokens, String checksum)
            implements RequestEvent {}

    /** A plain service answered; headers and body stay at the edge. */
    record AttemptAnswered(AttemptId attempt, int status) implements RequestEvent {}

    /** An attempt failed. */
    record AttemptFailed(AttemptId attempt, AttemptFailure failure, String detail)
            implements RequestEvent {}

    /** The claim of a request was created or taken; it holds the operation of the command. */
    record ClaimAcquired(RequestId request) implements RequestEvent {}

    /**
     * A claim with the key existed already.
     *
     * @param request the request that asked
     * @param state state of the claim
     * @param operation the operation id it holds
     * @param creator the process that made it
     * @param inProgress whether the holder says that the request is in progress
     * @param bodyHash hash of the body it was made for
     * @param status the recorded HTTP status; 0 unless the state is DONE
     * @param version version of the stored object, for taking a released claim
     */
    record ClaimFound(
            RequestId request,
            ClaimState state,
            OperationId operation,
            ProcessId creator,
            boolean inProgress,
            Fingerprint bodyHash,
            int status,
            String version)
            implements RequestEvent {}

    /** The claim was certainly not recorded; the object API does not answer. */
    record ClaimUnavailable(RequestId request) implements RequestEvent {}

    /** It is unknown whether the claim was recorded. */
    record ClaimOutcomeUnknown(RequestId request) implements RequestEvent {}

    /** A peer saw a server lost while it ran these requests; one message per crash. */
    record SuspectsAnnounced(ServerId server, List<Fingerprint> fingerprints)
            implements RequestEvent {
        public SuspectsAnnounced {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** A peer or the stored quarantine condemned a request. */
    record FingerprintQuarantined(Fingerprint fingerprint) implements RequestEvent {}

    /** A configuration was accepted; versions not greater than the present one are ignored. */
    record ConfigurationChanged(Configuration configuration) implements RequestEvent {}

    /**
     * The instance is to stop; requests still arriving are served.
     *
     * @param deadline when whatever is left is refused
     */
    record DrainStarted(Instant deadline) implements RequestEvent {}

    /** Time passed; sent every few milliseconds. */
    record Tick() implements RequestEvent {}
}
