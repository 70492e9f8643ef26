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
 * The objects in memory. Versions are revisions of the whole store, so an object that is deleted
 * and created again never repeats a version. Not thread-safe.
 */
final class ObjectStore {
    /** Changes kept for watches; a watch from before them gets a gap. */
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

    /** Returns the object as it was before its last change. */
    StoredObject readStale(ObjectName name) {
        return previous.getOrDefault(name.toString(), read(name));
    }

    /** Writes if the version is the expected one; returns the new version. */
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

    /** Deletes if the version is the expected one. */
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

    /** Returns the last state of all objects of a kind changed later; empty for a gap. */
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

    /** Forgets all changes, so that watches from earlier revisions get a gap. */
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
