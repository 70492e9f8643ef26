package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

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
 * <p>A view is of one era of the store. What was read in an earlier one is forgotten as soon as the
 * source learns of the present era, and a late answer of an earlier one changes nothing.
 *
 * @param <T> an object of the store
 */
public final class SharedView<T> {
    /** How long a watch is answered from this view after the last answer of the store. */
    public static final Duration FRESHNESS = Duration.ofMillis(1300);

    private static final int KEPT_CHANGES = 600;

    /** What a watch is answered with. */
    public enum Kind {
        /**
         * The view is not fresh, or of an earlier era than the watch. The watch must go to the
         * store.
         */
        STALE,
        /**
         * Changes since the position of the watch are no longer kept, or it is of an earlier era.
         */
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
     * @param position position from which the next watch continues
     */
    public record Answer<T>(Kind kind, List<T> changed, StorePosition position) {
        public Answer {
            changed = List.copyOf(changed);
        }
    }

    private record Change<T>(long revision, String name, T object) {}

    private final Deque<Change<T>> changes = new ArrayDeque<>();
    private long oldestRevision;
    private StorePosition position = StorePosition.START;
    private Instant confirmedAt = Instant.MIN;

    /**
     * Forgets what was read in other eras, until the next list. Must be called before the first
     * answer of an era is used.
     *
     * @param present the present era of the store; lower than the one before if that was stated by
     *     mistake
     */
    public void onStoreEra(StoreEra present) {
        changes.clear();
        position = new StorePosition(present, 0);
        confirmedAt = Instant.MIN;
    }

    /** Records a list, after which nothing is known of the changes before. */
    public void onListed(StorePosition listed, Instant now) {
        if (listed.era().compareTo(position.era()) < 0) {
            return;
        }
        changes.clear();
        oldestRevision = listed.revision();
        position = listed;
        confirmedAt = now;
    }

    /**
     * Records the answer of the store to a watch.
     *
     * @param after position from which the watch started
     * @param changed changed objects by name
     * @param reached position from which the next watch continues
     * @param now the present time
     */
    public void onWatched(
            StorePosition after, Map<String, T> changed, StorePosition reached, Instant now) {
        if (!after.equals(position) || !reached.era().equals(after.era())) {
            onListed(reached, now);
            return;
        }
        changed.forEach(
                (name, object) -> changes.addLast(new Change<>(reached.revision(), name, object)));
        position = reached;
        confirmedAt = now;
        while (changes.size() > KEPT_CHANGES) {
            oldestRevision = changes.removeFirst().revision();
        }
    }

    /**
     * Answers a watch.
     *
     * @param after position from which the watch starts
     * @param waitOver whether the watch is answered even without a change
     * @param now the present time
     */
    public Answer<T> answer(StorePosition after, boolean waitOver, Instant now) {
        boolean fresh =
                !confirmedAt.equals(Instant.MIN) && !now.isAfter(confirmedAt.plus(FRESHNESS));
        if (!fresh || after.era().compareTo(position.era()) > 0) {
            return new Answer<>(Kind.STALE, List.of(), after);
        }
        if (!after.era().equals(position.era()) || after.revision() < oldestRevision) {
            return new Answer<>(Kind.GAP, List.of(), position);
        }
        List<T> newest = changesAfter(after.revision());
        if (newest.isEmpty() && !waitOver) {
            return new Answer<>(Kind.WAIT, List.of(), after);
        }
        return new Answer<>(Kind.CHANGES, newest, after.isAfter(position) ? after : position);
    }

    /** Returns the newest change of each object that has changed after a revision. */
    private List<T> changesAfter(long revision) {
        Map<String, T> newest = new LinkedHashMap<>();
        for (Change<T> change : changes) {
            if (change.revision() > revision) {
                newest.remove(change.name());
                newest.put(change.name(), change.object());
            }
        }
        return new ArrayList<>(newest.values());
    }
}
