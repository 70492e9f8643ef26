package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.InstanceId;

/**
 * The source that an instance watches through, if any.
 *
 * <p>The instances of a failure domain divide over its sources by rendezvous hashing. A source that
 * fails to answer is left out for {@link #FAILURE_PAUSE}; meanwhile the instance uses another
 * source or the store. The planner's selection expires if it is not repeated, so an instance that
 * hears nothing of a planner watches the store itself.
 */
public final class FollowedSource {
    private static final Duration SELECTION_VALIDITY = Duration.ofSeconds(3);
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(3);

    private final InstanceId self;
    private final Hasher hasher;
    private final Map<InstanceId, Instant> failedUntil = new HashMap<>();
    private List<WatchSource> sources = List.of();
    private Instant selectedAt = Instant.EPOCH;

    /**
     * Creates the state of an instance that knows no source.
     *
     * @param self the instance
     * @param hasher hashes pairs of instances
     */
    public FollowedSource(InstanceId self, Hasher hasher) {
        this.self = self;
        this.hasher = hasher;
    }

    /** Applies the planner's selection for the failure domain of this instance. */
    public void onSelected(List<WatchSource> selection, Instant now) {
        sources = List.copyOf(selection);
        selectedAt = now;
    }

    /** Records that a source did not answer, or could not tell what the store holds. */
    public void onFailed(InstanceId source, Instant now) {
        failedUntil.put(source, now.plus(FAILURE_PAUSE));
    }

    private boolean selectionValid(Instant now) {
        return now.isBefore(selectedAt.plus(SELECTION_VALIDITY));
    }

    /** Tells whether this instance is a source for others. */
    public boolean isSource(Instant now) {
        return selectionValid(now)
                && sources.stream().anyMatch(source -> source.instance().equals(self));
    }

    /** Returns the source to watch through; empty if this instance must watch the store itself. */
    public Optional<WatchSource> current(Instant now) {
        if (!selectionValid(now) || isSource(now)) {
            return Optional.empty();
        }
        WatchSource best = null;
        long highest = Long.MIN_VALUE;
        for (WatchSource source : sources) {
            boolean failed =
                    now.isBefore(failedUntil.getOrDefault(source.instance(), Instant.EPOCH));
            long rank = hasher.hash(self + "@" + source.instance());
            if (!failed && (best == null || rank > highest)) {
                best = source;
                highest = rank;
            }
        }
        return Optional.ofNullable(best);
    }
}
