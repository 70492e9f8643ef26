package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks of the orders that several holders of a lease gave to one server. */
final class OrderTurns {
    private OrderTurns() {}

    /** Returns how often an order came from another holder than the one before. */
    static int handovers(List<LeaseSimulation.Order> orders) {
        int changes = 0;
        for (int index = 1; index < orders.size(); index++) {
            boolean same = orders.get(index).holder().equals(orders.get(index - 1).holder());
            changes += same ? 0 : 1;
        }
        return changes;
    }

    /**
     * Returns the first violation: a fencing token of two holders, one that is lower than one
     * before, or orders of two holders that are less than the turn time apart. Empty if there is
     * none.
     */
    static Optional<String> violation(List<LeaseSimulation.Order> orders) {
        Map<Long, String> holderOfFence = new HashMap<>();
        LeaseSimulation.Order last = null;
        for (LeaseSimulation.Order order : orders) {
            String holder = holderOfFence.putIfAbsent(order.fence(), order.holder());
            if (holder != null && !holder.equals(order.holder())) {
                return Optional.of("fencing token " + order.fence() + " has two holders");
            }
            Optional<String> found = last == null ? Optional.empty() : violation(last, order);
            if (found.isPresent()) {
                return found;
            }
            last = order;
        }
        return Optional.empty();
    }

    private static Optional<String> violation(
            LeaseSimulation.Order last, LeaseSimulation.Order order) {
        if (order.fence() < last.fence()) {
            return Optional.of("fencing token decreased: " + last + " then " + order);
        }
        Duration between = Duration.between(last.at(), order.at());
        boolean early = between.compareTo(LeaseSimulation.TURN) < 0;
        if (!last.holder().equals(order.holder()) && early) {
            return Optional.of("turn too short: " + last + " then " + order);
        }
        return Optional.empty();
    }
}
