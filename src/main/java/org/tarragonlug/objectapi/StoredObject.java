package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/**
 * An object read from the object API, or the statement that the object does not exist.
 *
 * @param name name of the object
 * @param position era of the store, and the object's version as revision
 * @param content JSON content; a missing node for an object that does not exist
 */
public record StoredObject(ObjectName name, StorePosition position, JsonNode content) {
    /** Version of an object that does not exist. As the expected version it means "create". */
    public static final long ABSENT = 0;

    /** Creates an object of a store without eras. */
    public StoredObject(ObjectName name, long version, JsonNode content) {
        this(name, StorePosition.of(version), content);
    }

    /** Returns the representation of an object that does not exist in a store without eras. */
    public static StoredObject absent(ObjectName name) {
        return absent(name, StoreEra.NONE);
    }

    /** Returns the representation of an object that does not exist in an era of the store. */
    public static StoredObject absent(ObjectName name, StoreEra era) {
        return new StoredObject(name, new StorePosition(era, ABSENT), MissingNode.getInstance());
    }

    /** Returns the same object, as read in an era of the store. */
    public StoredObject inEra(StoreEra era) {
        return new StoredObject(name, new StorePosition(era, version()), content);
    }

    /**
     * Returns the version, which increases with each write within an era; {@link #ABSENT} for an
     * object that does not exist.
     */
    public long version() {
        return position.revision();
    }

    /** Returns whether the object exists in the object API. */
    public boolean exists() {
        return version() != ABSENT;
    }
}
