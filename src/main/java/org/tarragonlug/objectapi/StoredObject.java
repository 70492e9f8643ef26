package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;

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

    /** Tells whether the object exists. */
    public boolean exists() {
        return version != ABSENT;
    }
}
