package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.StorePosition;

/**
 * The platform's store of versioned objects, with conditional writes and watches.
 *
 * <p>Returned stages fail with a {@link org.tarragonlug.error.TarragonlugException}: {@code
 * WRITE_CONFLICT} if the version of the object is not the expected one, {@code
 * OBJECT_API_UNAVAILABLE} if the call certainly had no effect, and {@code
 * OBJECT_API_OUTCOME_UNKNOWN} if a write may have taken effect.
 */
public interface ObjectApi {
    /** Reads one object. An object that does not exist has version {@link StoredObject#ABSENT}. */
    CompletionStage<StoredObject> read(ObjectName name);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param name name of the object
     * @param content content of at most 1 MB as JSON text; a larger one fails with {@code
     *     OBJECT_TOO_LARGE}
     * @param expectedVersion version that the object must have; {@link StoredObject#ABSENT} to
     *     create the object
     * @return the position of the object; its revision is the new version
     */
    CompletionStage<StorePosition> write(ObjectName name, JsonNode content, long expectedVersion);

    /** Deletes an object if its version is the expected one. */
    CompletionStage<Void> delete(ObjectName name, long expectedVersion);

    /** Lists all objects of a kind. A watch continues from the position of the result. */
    CompletionStage<WatchResult> list(String kind);

    /**
     * Waits for changes of the objects of a kind.
     *
     * @param kind kind of the objects
     * @param after position of the last list or watch result
     * @param longestWait time after which the watch ends without a change
     * @return the changes, or a gap if changes may be missing
     */
    CompletionStage<WatchResult> watch(String kind, StorePosition after, Duration longestWait);
}
