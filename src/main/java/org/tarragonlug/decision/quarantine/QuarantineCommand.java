package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/** A command that the {@link QuarantineManager} outputs for its driver to execute. */
public sealed interface QuarantineCommand {
    /** Finds out on a new connection whether a server still runs. */
    record CheckServer(ServerIncarnation server) implements QuarantineCommand {}

    /** Calls the manager again after a delay that is shorter than the period of its ticks. */
    record ScheduleTick(Duration delay) implements QuarantineCommand {}

    /** Reports losses of servers to the instances that may decide. */
    record ReportLosses(List<ServerLoss> losses) implements QuarantineCommand {
        public ReportLosses {
            losses = List.copyOf(losses);
        }
    }

    /** Reports answers to requests with watched traits to the instance that decides for all. */
    record ReportAnswers(List<TraitAge> answers) implements QuarantineCommand {
        public ReportAnswers {
            answers = List.copyOf(answers);
        }
    }

    /** Announces decisions to all other instances. */
    record AnnounceDecisions(Set<RequestTrait> quarantined, List<TraitAge> watched)
            implements QuarantineCommand {
        public AnnounceDecisions {
            quarantined = Set.copyOf(quarantined);
            watched = List.copyOf(watched);
        }
    }

    /** Replaces the stored quarantine, unless it has changed since it was read last. */
    record Store(Set<RequestTrait> quarantined) implements QuarantineCommand {
        public Store {
            quarantined = Set.copyOf(quarantined);
        }
    }

    /** Keeps requests with these traits from servers, and only these. */
    record Apply(Set<RequestTrait> quarantined) implements QuarantineCommand {
        public Apply {
            quarantined = Set.copyOf(quarantined);
        }
    }

    /** Lets one request with a quarantined trait pass, to find out whether it still crashes. */
    record AllowTrial(RequestTrait trait) implements QuarantineCommand {}

    /**
     * Tells operators that a trait is quarantined from now on.
     *
     * @param trait the trait
     * @param lostServers number of servers that were lost with it
     * @param lostRequests number of requests that were lost with these servers
     */
    record LogConviction(RequestTrait trait, int lostServers, int lostRequests)
            implements QuarantineCommand {}

    /** Tells operators that a trait is no longer quarantined. */
    record LogRelease(RequestTrait trait, ReleaseReason reason) implements QuarantineCommand {}

    /** Tells operators that a server was lost. */
    record LogLoss(ServerIncarnation server, int requests) implements QuarantineCommand {}
}
