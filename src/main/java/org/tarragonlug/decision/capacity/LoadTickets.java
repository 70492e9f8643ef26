package org.tarragonlug.decision.capacity;

import java.util.List;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.InstanceId;

/** Assigns load tickets to their owners by rendezvous hashing over the live view. */
public final class LoadTickets {
    private LoadTickets() {}

    /**
     * Returns the owner of a ticket: the live instance for which the hash of ticket and instance is
     * highest.
     *
     * @param ticket the ticket
     * @param live the live view, in any order, not empty
     * @param hasher the hash function, the same at all instances
     * @throws IllegalArgumentException if the live view is empty
     */
    public static InstanceId owner(LoadTicket ticket, List<InstanceId> live, Hasher hasher) {
        InstanceId best = null;
        long bestHash = 0;
        for (InstanceId instance : live) {
            long hash = hasher.hash("ticket/" + ticket + "/" + instance);
            int order = best == null ? 1 : Long.compareUnsigned(hash, bestHash);
            if (order > 0 || (order == 0 && instance.compareTo(best) < 0)) {
                best = instance;
                bestHash = hash;
            }
        }
        if (best == null) {
            throw new IllegalArgumentException(
                    "live view is empty: ticket " + ticket + " has no owner");
        }
        return best;
    }
}
