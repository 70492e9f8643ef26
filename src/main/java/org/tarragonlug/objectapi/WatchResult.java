package org.tarragonlug.objectapi;

import java.util.List;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/**
 * The result of a list or watch call.
 *
 * @param changed objects listed, or changed since the given position; deleted objects have version
 *     {@link StoredObject#ABSENT}. Empty if the watch ended without a change.
 * @param position position to pass to the next watch
 * @param gap whether changes may be missing, in which case the kind must be listed again
 */
public record WatchResult(List<StoredObject> changed, StorePosition position, boolean gap) {
    public WatchResult {
        changed = List.copyOf(changed);
    }

    /** Creates the result of a call to a store without eras. */
    public WatchResult(List<StoredObject> changed, long revision, boolean gap) {
        this(changed, StorePosition.of(revision), gap);
    }

    /** Returns the same result, as read in an era of the store. */
    public WatchResult inEra(StoreEra era) {
        return new WatchResult(
                changed.stream().map(object -> object.inEra(era)).toList(),
                new StorePosition(era, revision()),
                gap);
    }

    /** Returns the revision to pass to the next watch. */
    public long revision() {
        return position.revision();
    }
}
