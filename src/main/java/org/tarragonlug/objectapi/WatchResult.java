package org.tarragonlug.objectapi;

import java.util.List;

/**
 * What a watch returned.
 *
 * @param changed objects changed since the given revision, deleted ones with version {@link
 *     StoredObject#ABSENT}; possibly empty when the wait ended first
 * @param revision pass this to the next watch
 * @param gap whether changes may be missing, so that the kind must be listed anew
 */
public record WatchResult(List<StoredObject> changed, long revision, boolean gap) {
    public WatchResult {
        changed = List.copyOf(changed);
    }
}
