package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The object API of the platform: versions, conditional updates and watches.
 *
 * <p>Stages fail with a {@link org.tarragonlug.error.TarragonlugException}: {@code WRITE_CONFLICT}
 * when the version differs, {@code OBJECT_API_UNAVAILABLE} when a call certainly had no effect,
 * {@code OBJECT_API_OUTCOME_UNKNOWN} when a write may have taken effect.
 */
public interface ObjectApi {
    /** Reads one object; an absent one has version {@link StoredObject#ABSENT}. */
    CompletionStage<StoredObject> read(ObjectName name);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param name the object
     * @param content at most 1 MB as text
     * @param expectedVersion the version it must have; {@link StoredObject#ABSENT} to create it
     * @return the new version
     */
    CompletionStage<Long> write(ObjectName name, JsonNode content, long expectedVersion);

    /** Deletes an object if its version is the expected one. */
    CompletionStage<Void> delete(ObjectName name, long expectedVersion);

    /** Lists all objects of a kind; the revision is where a watch continues. */
    CompletionStage<WatchResult> list(String kind);

    /**
     * Waits for changes of a kind.
     *
     * @param kind the kind
     * @param afterRevision the revision of the last list or watch
     * @param longestWait when to return without a change
     * @return the changes, or a gap
     */
    CompletionStage<WatchResult> watch(String kind, long afterRevision, Duration longestWait);
}
