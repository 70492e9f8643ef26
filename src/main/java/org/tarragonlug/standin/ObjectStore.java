package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;

/**
 * In-memory store of the object API. The version of an object is the store's revision at its last
 * write, so an object that is deleted and created again never reuses a version. Not thread-safe.
 */
final class ObjectStore {
    /** Number of changes kept for watches; a watch from an older revision gets a gap. */
    private static final int MAXIMUM_CHANGES = 10_000;

    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, StoredObject> previous = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private long revision;
    private long discardedRevision;

    long revision() {
        return revision;
    }

    StoredObject read(ObjectName name) {
        return objects.getOrDefault(name.toString(), absent(name));
    }

    /** Returns the object as it was before its last change, or its present state if it has none. */
    StoredObject readStale(ObjectName name) {
        return previous.getOrDefault(name.toString(), read(name));
    }

    /** Writes the object and returns its new version; empty if its version is not the expected. */
    OptionalLong write(ObjectName name, JsonNode content, long expected) {
        StoredObject old = read(name);
        if (old.version() != expected) {
            return OptionalLong.empty();
        }
        revision++;
        StoredObject written = new StoredObject(name, revision, content);
        previous.put(name.toString(), old);
        objects.put(name.toString(), written);
        recordChange(written);
        return OptionalLong.of(revision);
    }

    /** Deletes the object; returns false if it does not exist or has another version. */
    boolean delete(ObjectName name, long expected) {
        StoredObject old = read(name);
        if (!old.exists() || old.version() != expected) {
            return false;
        }
        revision++;
        previous.put(name.toString(), old);
        objects.remove(name.toString());
        recordChange(absent(name));
        return true;
    }

    List<StoredObject> list(String kind) {
        return objects.values().stream()
                .filter(object -> object.name().kind().equals(kind))
                .toList();
    }

    /**
     * Returns the last state of each object of a kind that changed after a revision. Empty if the
     * changes since that revision are not known, which the watch reports as a gap.
     */
    Optional<List<StoredObject>> changedAfter(String kind, long after) {
        if (after < discardedRevision || after > revision) {
            return Optional.empty();
        }
        Map<ObjectName, StoredObject> changed = new LinkedHashMap<>();
        for (Change change : changes) {
            StoredObject object = change.object;
            if (change.revision > after && object.name().kind().equals(kind)) {
                changed.put(object.name(), object);
            }
        }
        return Optional.of(List.copyOf(changed.values()));
    }

    /** Discards all changes, so that watches from earlier revisions get a gap. */
    void discardChanges() {
        changes.clear();
        discardedRevision = revision;
    }

    private void recordChange(StoredObject object) {
        changes.addLast(new Change(revision, object));
        if (changes.size() > MAXIMUM_CHANGES) {
            discardedRevision = changes.removeFirst().revision;
        }
    }

    private static StoredObject absent(ObjectName name) {
        return new StoredObject(name, StoredObject.ABSENT, MissingNode.getInstance());
    }

    private record Change(long revision, StoredObject object) {}
}
