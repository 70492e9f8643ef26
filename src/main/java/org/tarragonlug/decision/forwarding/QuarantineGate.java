package org.tarragonlug.decision.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;

/**
 * Tells which requests must not be sent, because requests with the same traits crash servers.
 *
 * <p>A trial lets one request pass. It is not sent a second time, so it crashes one server at most.
 */
final class QuarantineGate {
    private final Set<RequestTrait> trials = new HashSet<>();
    private Set<RequestTrait> quarantined = Set.of();

    void update(Set<RequestTrait> traits) {
        quarantined = traits;
        trials.retainAll(traits);
    }

    void allowTrial(RequestTrait trait) {
        if (quarantined.contains(trait)) {
            trials.add(trait);
        }
    }

    /** Returns whether a request is quarantined, so that it must not go to further servers. */
    boolean concerns(PendingForward forward) {
        return forward.allTraits().stream().anyMatch(quarantined::contains);
    }

    /** Returns whether a request must not be sent. A request that takes a trial is marked. */
    boolean blocks(PendingForward forward) {
        if (quarantined.isEmpty() || forward.onTrial) {
            return false;
        }
        List<RequestTrait> hits =
                forward.allTraits().stream().filter(quarantined::contains).toList();
        if (hits.isEmpty()) {
            return false;
        }
        if (!trials.containsAll(hits)) {
            return true;
        }
        hits.forEach(trials::remove);
        forward.onTrial = true;
        return false;
    }
}
