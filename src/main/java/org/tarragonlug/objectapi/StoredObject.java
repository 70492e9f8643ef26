package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * An object read from the object API, or the statement that the object does not exist.
 *
 * @param name name of the object
 * @param version version, which increases with each write; {@link #ABSENT} for an object that does
 *     not exist
 * @param content JSON content; a missing node for an object that does not exist
 */
public record StoredObject(ObjectName name, long version, JsonNode content) {
    /** Version of an object that does not exist. As the expected version it means "create". */
    public static final long ABSENT = 0;

    /** Returns the representation of an object that does not exist. */
    public static StoredObject absent(ObjectName name) {
        return new StoredObject(name, ABSENT, MissingNode.getInstance());
    }

    /** Returns whether the object exists in the object API. */
    public boolean exists() {
        return version != ABSENT;
    }
}
