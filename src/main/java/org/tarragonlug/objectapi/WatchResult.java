package org.tarragonlug.objectapi;

import java.util.List;

/**
 * The result of a list or watch call.
 *
 * @param changed objects listed, or changed since the given revision; deleted objects have version
 *     {@link StoredObject#ABSENT}. Empty if the watch ended without a change.
 * @param revision revision to pass to the next watch
 * @param gap whether changes may be missing, in which case the kind must be listed again
 */
public record WatchResult(List<StoredObject> changed, long revision, boolean gap) {
    public WatchResult {
        changed = List.copyOf(changed);
    }
}
