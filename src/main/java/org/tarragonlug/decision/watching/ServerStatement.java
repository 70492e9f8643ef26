package org.tarragonlug.decision.watching;

import java.util.OptionalLong;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.StorePosition;

/**
 * What a server said of itself in its entry in the store.
 *
 * @param run the run of the server's process that wrote the entry
 * @param number number of the write among those of the run; empty if the entry does not tell
 * @param leaving whether the server said that it leaves
 * @param position where the entry was read
 */
public record ServerStatement(
        ServerIncarnation run, OptionalLong number, boolean leaving, StorePosition position) {
    /** Returns whether the entry says that it was written after another one of the same run. */
    boolean isNumberedAfter(ServerStatement other) {
        return number.isPresent()
                && other.number.isPresent()
                && number.getAsLong() > other.number.getAsLong();
    }

    /** Returns whether another entry is of the same run, and both state when it started. */
    boolean isOfKnownRun(ServerStatement other) {
        return run.startedMillis() > 0 && run.equals(other.run);
    }

    /**
     * Returns whether this entry would make a server ready that has said in another one that it
     * leaves, without showing that it was written after that one.
     */
    boolean takesBack(ServerStatement other) {
        return other.leaving && !leaving && !isNumberedAfter(other);
    }
}
