package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * An object as read from the object API.
 *
 * @param name its name
 * @param version grows with each write; {@link #ABSENT} for an object that does not exist
 * @param content its JSON content; a missing node for an object that does not exist
 */
public record StoredObject(ObjectName name, long version, JsonNode content) {
    /** Version of an object that does not exist; as the expected version it means "create". */
    public static final long ABSENT = 0;

    /** Returns an object that does not exist. */
    public static StoredObject absent(ObjectName name) {
        return new StoredObject(name, ABSENT, MissingNode.getInstance());
    }

    /** Tells whether the object exists. */
    public boolean exists() {
        return version != ABSENT;
    }
}
