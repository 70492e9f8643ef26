package org.tarragonlug.http;

import java.util.Arrays;
import java.util.Optional;

/**
 * The calls that one connection has carried, by the names that their answers bear.
 *
 * <p>A server may send an answer once more, late. Its name tells it from the answers to all other
 * calls, but not from the answer to the same call that is sent again on the same connection. Only
 * the connection knows which calls those are: servers change their ids and addresses while their
 * connections stay.
 *
 * <p>Only hash codes are kept. Two names with the same hash code count as one, so a call may count
 * as carried although it was not; it is then sent on another connection. The number of calls is
 * limited, which limits the memory; a connection that has carried so many is not used again.
 */
final class CarriedCalls {
    /** Number of named calls after which a connection is not used again. */
    private static final int MAX_NAMED_CALLS = 512;

    private static final int INITIAL_CAPACITY = 4;

    private int[] nameHashes = new int[INITIAL_CAPACITY];
    private int namedCalls;
    private int calls;

    /** Records that the connection carries a call. */
    void add(Optional<AnswerName> name) {
        calls++;
        name.ifPresent(this::remember);
    }

    private void remember(AnswerName name) {
        if (namedCalls == nameHashes.length) {
            nameHashes = Arrays.copyOf(nameHashes, 2 * namedCalls);
        }
        nameHashes[namedCalls] = name.hashCode();
        namedCalls++;
    }

    /** Returns whether the connection may have carried a call of this name. */
    boolean mayContain(Optional<AnswerName> name) {
        return name.isPresent() && contains(name.get().hashCode());
    }

    private boolean contains(int hash) {
        for (int index = 0; index < namedCalls; index++) {
            if (nameHashes[index] == hash) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of calls, with and without names. */
    int count() {
        return calls;
    }

    /** Returns whether the connection may not carry further calls. */
    boolean isFull() {
        return namedCalls >= MAX_NAMED_CALLS;
    }
}
