package org.tarragonlug.gateway;

import com.dynatrace.hash4j.hashing.HashValue128;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Explores all orders of events up to a number of events, the shortest ones first.
 *
 * <p>A state can not be copied, so it is reached again by repeating its events; everything is
 * deterministic. What follows a state depends only on what {@link ExploredWorld} refers to, and
 * that includes how often each event has happened. An order that reaches a state that was reached
 * before, by an order that is not longer, is therefore not continued.
 */
final class OrderExplorer {
    /** One event in an order, and the order before it. */
    private record Step(
            Step before,
            ExploredEvent event,
            int call,
            int depth,
            int disturbances,
            HashValue128 parts) {
        private void repeat(ExploredWorld world) {
            if (before != null) {
                before.repeat(world);
                event.happen(world, call);
            }
        }

        private List<String> names() {
            List<String> names = before == null ? new ArrayList<>() : before.names();
            if (before != null) {
                names.add(event + "(" + (call + 1) + ")");
            }
            return names;
        }
    }

    /**
     * What was explored.
     *
     * @param states number of different states
     * @param transitions number of events that were tried in them
     * @param depth number of events of the longest orders
     * @param shortestOrders the shortest order that leads to each fault
     */
    record Result(
            int states,
            long transitions,
            int depth,
            Map<ExploredFault, List<String>> shortestOrders) {}

    private final Supplier<ExploredWorld> start;
    private final Predicate<ExploredEvent> explored;
    private final int maximumDepth;
    private final int maximumDisturbances;
    private final Map<ExploredFault, List<String>> shortestOrders =
            new EnumMap<>(ExploredFault.class);
    private final Set<HashValue128> reached = new HashSet<>();
    private final Deque<Step> open = new ArrayDeque<>();
    private long transitions;

    /**
     * Creates an explorer.
     *
     * @param start supplies the state before the first event
     * @param explored tells which events are explored
     * @param maximumDepth largest number of events
     * @param maximumDisturbances largest number of events that are not ordinary
     */
    OrderExplorer(
            Supplier<ExploredWorld> start,
            Predicate<ExploredEvent> explored,
            int maximumDepth,
            int maximumDisturbances) {
        this.start = start;
        this.explored = explored;
        this.maximumDepth = maximumDepth;
        this.maximumDisturbances = maximumDisturbances;
    }

    /** Explores all orders. */
    Result explore() {
        ExploredWorld first = start.get();
        HashValue128 firstParts = StateDigest.of(first);
        reached.add(stateOf(first, firstParts));
        open.add(new Step(null, null, 0, 0, 0, firstParts));
        for (Step step = open.poll(); step != null; step = open.poll()) {
            if (step.depth() < maximumDepth) {
                continueAfter(step);
            }
        }
        return new Result(reached.size(), transitions, maximumDepth, shortestOrders);
    }

    private void continueAfter(Step step) {
        ExploredWorld before = start.get();
        step.repeat(before);
        for (ExploredEvent event : ExploredEvent.values()) {
            boolean within = event.isOrdinary() || step.disturbances() < maximumDisturbances;
            if (within && explored.test(event)) {
                event.calls(before).forEach(call -> take(step, event, call));
            }
        }
    }

    private void take(Step step, ExploredEvent event, int call) {
        ExploredWorld world = start.get();
        step.repeat(world);
        event.happen(world, call);
        transitions++;
        HashValue128 parts = StateDigest.of(world);
        if (parts.equals(step.parts())) {
            return;
        }
        int disturbances = step.disturbances() + (event.isOrdinary() ? 0 : 1);
        Step next = new Step(step, event, call, step.depth() + 1, disturbances, parts);
        world.faults.forEach(fault -> shortestOrders.putIfAbsent(fault, next.names()));
        if (reached.add(stateOf(world, parts))) {
            open.add(next);
        }
    }

    private static HashValue128 stateOf(ExploredWorld world, HashValue128 parts) {
        return StateDigest.of(
                List.of(
                        world.happened,
                        parts.getMostSignificantBits(),
                        parts.getLeastSignificantBits()));
    }
}
