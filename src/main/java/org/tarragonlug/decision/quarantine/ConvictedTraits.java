package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/**
 * The traits that an instance has convicted, or has taken over from the instance that decided
 * before it.
 *
 * <p>A conviction may be wrong, and what crashes servers may have been mended, so a single request
 * is let through on trial now and then. If it crashes a server, the time to the next trial doubles,
 * so that the number of servers that a trait can crash grows only with the logarithm of the time.
 */
final class ConvictedTraits {
    /** Time from a conviction to the first trial. */
    static final Duration FIRST_TRIAL_DELAY = Duration.ofSeconds(30);

    private static final Duration MAX_TRIAL_DELAY = Duration.ofHours(1);

    /** A trait that has crashed no server for this long is no longer quarantined. */
    private static final Duration EXPIRY = Duration.ofHours(6);

    private static final int MAX_TRAITS = 256;

    /** What is known of a convicted trait. */
    private static final class Entry {
        private final Set<ServerIncarnation> losses;
        private final boolean takenOver;
        private Instant lastLossAt;
        private Instant nextTrialAt;
        private Duration trialDelay = FIRST_TRIAL_DELAY;
        private boolean onTrial;

        Entry(Set<ServerIncarnation> losses, boolean takenOver, Instant now) {
            this.losses = new HashSet<>(losses);
            this.takenOver = takenOver;
            this.lastLossAt = now;
            this.nextTrialAt = now.plus(trialDelay);
        }
    }

    private final Map<RequestTrait, Entry> entries = new LinkedHashMap<>();

    boolean contains(RequestTrait trait) {
        return entries.containsKey(trait);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the convicted traits, in the order of their conviction. */
    Set<RequestTrait> traits() {
        return Set.copyOf(entries.keySet());
    }

    /** Returns when a server was last lost with the trait; empty if it is not convicted. */
    Optional<Instant> lastLoss(RequestTrait trait) {
        return Optional.ofNullable(entries.get(trait)).map(entry -> entry.lastLossAt);
    }

    /**
     * Adds a conviction. If there are too many, the oldest one of a content is dropped, or else the
     * oldest one, because a part concerns more requests.
     */
    void add(CrashEvidence.Conviction conviction, Instant now) {
        put(conviction.trait(), new Entry(conviction.losses(), false, now));
    }

    /** Adds the conviction of another instance unless it is known. */
    void takeOver(RequestTrait trait, Instant now) {
        if (!entries.containsKey(trait)) {
            put(trait, new Entry(Set.of(), true, now));
        }
    }

    private void put(RequestTrait trait, Entry entry) {
        entries.put(trait, entry);
        if (entries.size() > MAX_TRAITS) {
            RequestTrait oldest = entries.keySet().iterator().next();
            entries.remove(
                    entries.keySet().stream()
                            .filter(each -> each.kind() == RequestTrait.Kind.CONTENT)
                            .findFirst()
                            .orElse(oldest));
        }
    }

    /** Removes a trait; does nothing if it is not convicted. */
    void remove(RequestTrait trait) {
        entries.remove(trait);
    }

    /** Records the loss of a server with these requests, which postpones the next trial. */
    void onServerLost(Collection<LostRequest> requests, Instant now) {
        Set<RequestTrait> lost = new HashSet<>();
        for (LostRequest request : requests) {
            lost.add(request.content());
            lost.addAll(request.parts());
        }
        for (RequestTrait trait : lost) {
            Entry entry = entries.get(trait);
            if (entry != null) {
                postponeTrial(entry, now);
            }
        }
    }

    private static void postponeTrial(Entry entry, Instant now) {
        entry.lastLossAt = now;
        if (entry.onTrial) {
            entry.onTrial = false;
            Duration doubled = entry.trialDelay.multipliedBy(2);
            entry.trialDelay = doubled.compareTo(MAX_TRIAL_DELAY) < 0 ? doubled : MAX_TRIAL_DELAY;
        }
        entry.nextTrialAt = now.plus(entry.trialDelay);
    }

    /** Returns a trait whose trial is due, and schedules its next one. */
    Optional<RequestTrait> takeDueTrial(Instant now) {
        for (Map.Entry<RequestTrait, Entry> each : entries.entrySet()) {
            Entry entry = each.getValue();
            if (!now.isBefore(entry.nextTrialAt)) {
                entry.onTrial = true;
                entry.nextTrialAt = now.plus(entry.trialDelay);
                return Optional.of(each.getKey());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes the evidence of a server that was not lost.
     *
     * @return the traits that no longer have enough evidence; they are removed
     */
    List<RequestTrait> onServerNotLost(ServerIncarnation server) {
        List<RequestTrait> released = new ArrayList<>();
        entries.forEach(
                (trait, entry) -> {
                    boolean changed = entry.losses.remove(server);
                    if (changed && entry.losses.size() < CrashEvidence.MIN_LOSSES) {
                        released.add(trait);
                    }
                });
        released.forEach(entries::remove);
        return released;
    }

    /** Removes and returns the traits that have crashed no server for a long time. */
    List<RequestTrait> removeExpired(Instant now) {
        List<RequestTrait> expired = new ArrayList<>();
        entries.forEach(
                (trait, entry) -> {
                    if (now.isAfter(entry.lastLossAt.plus(EXPIRY))) {
                        expired.add(trait);
                    }
                });
        expired.forEach(entries::remove);
        return expired;
    }

    /** Returns the traits with enough losses among the given ones, which are proved. */
    Set<RequestTrait> provedBy(Set<ServerIncarnation> proved) {
        Set<RequestTrait> result = new HashSet<>();
        entries.forEach(
                (trait, entry) -> {
                    long count = entry.losses.stream().filter(proved::contains).count();
                    if (!entry.takenOver && count >= CrashEvidence.MIN_LOSSES) {
                        result.add(trait);
                    }
                });
        return result;
    }
}
