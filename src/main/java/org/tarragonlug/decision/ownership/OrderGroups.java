package org.tarragonlug.decision.ownership;

import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;

/**
 * Divides the backend servers into groups, each with a lease of its own.
 *
 * <p>The loss of a holder stops the orders to its group for as long as the turns of two holders
 * must lie apart; the other groups go on. More groups lose less at once and cost more renewals.
 */
public final class OrderGroups {
    private final Hasher hasher;
    private final int count;

    /**
     * Creates the division.
     *
     * @param hasher spreads servers and instances
     * @param count number of groups, one or more
     */
    public OrderGroups(Hasher hasher, int count) {
        this.hasher = hasher;
        this.count = Math.max(1, count);
    }

    /** Returns all groups. */
    public List<OrderGroup> all() {
        List<OrderGroup> groups = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            groups.add(new OrderGroup(number));
        }
        return groups;
    }

    /** Returns the group of a server. */
    public OrderGroup groupOf(ServerId server) {
        return new OrderGroup((int) Math.floorMod(hasher.hash(server.value()), (long) count));
    }

    /**
     * Returns how far an instance stands back for a group, from 0 for the first to 1 for the last,
     * so that not all instances try to take a lease at once.
     */
    public double acquisitionRank(InstanceId instance, OrderGroup group) {
        long hash = hasher.hash(instance + "#" + group);
        return (hash >>> 11) / (double) (1L << 53);
    }
}
