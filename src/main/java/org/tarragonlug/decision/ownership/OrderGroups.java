package org.tarragonlug.decision.ownership;

import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;

/**
 * Divides the backend servers into groups, each of which has its own lease.
 *
 * <p>When a holder is lost, its group receives no orders until the next holder's turn begins. The
 * other groups are not affected. With more groups, the loss of a holder affects fewer servers, but
 * the renewals cost more.
 */
public final class OrderGroups {
    private final Hasher hasher;
    private final int count;

    /**
     * Creates a division into groups.
     *
     * @param hasher hashes servers to groups, and pairs of instance and group to ranks
     * @param count number of groups; values below 1 count as 1
     */
    public OrderGroups(Hasher hasher, int count) {
        this.hasher = hasher;
        this.count = Math.max(1, count);
    }

    /** Returns all groups in the order of their numbers. */
    public List<OrderGroup> all() {
        List<OrderGroup> groups = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            groups.add(new OrderGroup(number));
        }
        return groups;
    }

    /** Returns the group that a server belongs to; the result depends only on the server's id. */
    public OrderGroup groupOf(ServerId server) {
        return new OrderGroup((int) Math.floorMod(hasher.hash(server.value()), (long) count));
    }

    /**
     * Returns a pseudo-random rank of an instance for a group, from 0 (inclusive) to 1 (exclusive).
     * Instances with a lower rank try to acquire the group's lease first. Different ranks keep the
     * instances from trying all at the same time.
     */
    public double acquisitionRank(InstanceId instance, OrderGroup group) {
        long hash = hasher.hash(instance + "#" + group);
        return (hash >>> 11) / (double) (1L << 53);
    }
}
