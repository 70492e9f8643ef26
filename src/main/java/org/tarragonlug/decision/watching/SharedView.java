package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a source has read of one kind of objects, from which it answers the watches of other
 * instances.
 *
 * <p>The view keeps the changes of the last {@link #KEPT_CHANGES} revisions that it was told. A
 * watch that starts before them has a gap and must list the objects again, as at the store. The
 * view answers only while it is fresh: while the store has answered the source within {@link
 * #FRESHNESS}. A source that is cut off from the store therefore does not keep others in the belief
 * that nothing has changed.
 *
 * @param <T> an object of the store
 */
public final class SharedView<T> {
    /** How long a watch is answered from this view after the last answer of the store. */
    public static final Duration FRESHNESS = Duration.ofMillis(1300);

    private static final int KEPT_CHANGES = 600;

    /** What a watch is answered with. */
    public enum Kind {
        /** The view is not fresh. The watch must go to the store. */
        STALE,
        /** Changes since the revision of the watch are no longer kept. */
        GAP,
        /** There are changes, or the wait is over. */
        CHANGES,
        /** There is no change yet, so the watch waits. */
        WAIT
    }

    /**
     * The answer to a watch.
     *
     * @param kind what the answer means
     * @param changed changed objects, the newest change of each
     * @param revision revision from which the next watch continues
     */
    public record Answer<T>(Kind kind, List<T> changed, long revision) {
        public Answer {
            changed = List.copyOf(changed);
        }
    }

    private record Change<T>(long revision, String name, T object) {}

    private final Deque<Change<T>> changes = new ArrayDeque<>();
    private long oldestRevision;
    private long revision;
    private Instant confirmedAt = Instant.MIN;

    /** Records a list, after which nothing is known of the changes before. */
    public void onListed(long listedRevision, Instant now) {
        changes.clear();
        oldestRevision = listedRevision;
        revision = listedRevision;
        confirmedAt = now;
    }

    /**
     * Records the answer of the store to a watch.
     *
     * @param after revision from which the watch started
     * @param changed changed objects by name
     * @param newRevision revision from which the next watch continues
     * @param now the present time
     */
    public void onWatched(long after, Map<String, T> changed, long newRevision, Instant now) {
        if (after != revision) {
            onListed(newRevision, now);
            return;
        }
        changed.forEach((name, object) -> changes.addLast(new Change<>(newRevision, name, object)));
        revision = newRevision;
        confirmedAt = now;
        while (changes.size() > KEPT_CHANGES) {
            oldestRevision = changes.removeFirst().revision();
        }
    }

    /**
     * Answers a watch.
     *
     * @param after revision from which the watch starts
     * @param waitOver whether the watch is answered even without a change
     * @param now the present time
     */
    public Answer<T> answer(long after, boolean waitOver, Instant now) {
        if (confirmedAt.equals(Instant.MIN) || now.isAfter(confirmedAt.plus(FRESHNESS))) {
            return new Answer<>(Kind.STALE, List.of(), after);
        }
        if (after < oldestRevision) {
            return new Answer<>(Kind.GAP, List.of(), revision);
        }
        Map<String, T> newest = new LinkedHashMap<>();
        for (Change<T> change : changes) {
            if (change.revision() > after) {
                newest.remove(change.name());
                newest.put(change.name(), change.object());
            }
        }
        if (newest.isEmpty() && !waitOver) {
            return new Answer<>(Kind.WAIT, List.of(), after);
        }
        return new Answer<>(
                Kind.CHANGES, new ArrayList<>(newest.values()), Math.max(after, revision));
    }
}
