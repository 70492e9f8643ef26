package org.tarragonlug.decision.quarantine;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/** An input event of the {@link QuarantineManager}. */
public sealed interface QuarantineEvent {
    /** A server's connection broke before any content of the answer to a request had arrived. */
    record RequestLost(ServerIncarnation server, LostRequest request) implements QuarantineEvent {}

    /** A server has begun to answer a request with these traits, or has answered it. */
    record AnswerBegun(List<RequestTrait> traits) implements QuarantineEvent {
        public AnswerBegun {
            traits = List.copyOf(traits);
        }
    }

    /** A check of a server that a connection broke to has ended. */
    record ServerChecked(ServerIncarnation server, boolean alive) implements QuarantineEvent {}

    /** A server has answered a request. Only servers whose loss was noticed matter. */
    record ServerAnswered(ServerIncarnation server, Instant sentAt) implements QuarantineEvent {}

    /** The platform no longer lists this run of a server, which proves its end. */
    record ServerGone(ServerIncarnation server) implements QuarantineEvent {}

    /** Another instance reported losses of servers. */
    record LossesReported(List<ServerLoss> losses) implements QuarantineEvent {
        public LossesReported {
            losses = List.copyOf(losses);
        }
    }

    /** Another instance reported answers to requests with traits that are watched. */
    record AnswersReported(List<TraitAge> answers) implements QuarantineEvent {
        public AnswersReported {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The deciding instance announced its decisions.
     *
     * @param quarantined the traits whose requests must not reach servers
     * @param watched traits on whose answers, also earlier ones, the receiver reports, with the
     *     time since the first loss of a server with them
     */
    record DecisionsAnnounced(Set<RequestTrait> quarantined, List<TraitAge> watched)
            implements QuarantineEvent {
        public DecisionsAnnounced {
            quarantined = Set.copyOf(quarantined);
            watched = List.copyOf(watched);
        }
    }

    /** The stored quarantine was read, or this instance's write of it took effect. */
    record StoredRead(Set<RequestTrait> quarantined) implements QuarantineEvent {
        public StoredRead {
            quarantined = Set.copyOf(quarantined);
        }
    }

    /** The store has come back from an older copy; its record has not been read since. */
    record StoreRestored() implements QuarantineEvent {}

    /**
     * A record was read that was written before the store came back from an older copy.
     *
     * @param quarantined the traits in the record; empty if there is none
     * @param newer whether it was written after all that this instance has read
     */
    record EarlierRecordRead(Set<RequestTrait> quarantined, boolean newer)
            implements QuarantineEvent {
        public EarlierRecordRead {
            quarantined = Set.copyOf(quarantined);
        }
    }

    /** The role of this instance has changed. */
    record RoleChanged(QuarantineRole role) implements QuarantineEvent {}

    /** The periodic timer fired. */
    record Tick() implements QuarantineEvent {}
}
