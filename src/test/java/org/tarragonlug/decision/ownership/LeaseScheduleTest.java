package org.tarragonlug.decision.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.id.StoreEra;

/**
 * All schedules of a few faults, of which one or two are returns of the store from an older copy,
 * each at every second of a run. The store and the instances are otherwise reliable, and time
 * passes in coarse steps.
 */
class LeaseScheduleTest {
    /** Number of faults in a schedule. */
    private static final int FAULTS = Integer.getInteger("tarragonlug.lease.schedule.faults", 2);

    private static final int SECONDS = Integer.getInteger("tarragonlug.lease.schedule.seconds", 11);
    private static final int MOST_RETURNS = 2;
    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration FAULT_TIME = Duration.ofMillis(8500);

    /** How long a schedule goes on after its last fault; a lease is taken over within this time. */
    private static final Duration AFTER_FAULTS = Duration.ofSeconds(14);

    /** Ages of copies in seconds; the last one is from before the first lease. */
    private static final int[] AGES = {1, 4, 60};

    /** Something that happens in a schedule. */
    private interface Event {
        void happen(LeaseSimulation simulation);
    }

    /** The store returns from a copy. */
    private record Return(int age) implements Event {
        @Override
        public void happen(LeaseSimulation simulation) {
            simulation.drill(Duration.ofSeconds(age));
        }
    }

    /** An instance has a fault. */
    private record InstanceFault(LeaseFault fault, int instance) implements Event {
        @Override
        public void happen(LeaseSimulation simulation) {
            simulation.inject(fault, instance, FAULT_TIME);
        }
    }

    /** An event and the second at which it happens. */
    private record Timed(int second, Event event) {}

    private final Set<String> states = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private long schedules;

    // Guards against an order of faults and returns in which two holders give orders within a turn,
    // or a fencing token has two holders or decreases.
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noScheduleBreaksATurn(int instances) {
        long start = System.nanoTime();
        extend(instances, eventsOf(instances), new ArrayList<>(), 0);
        System.out.printf(
                "%d instances, %d faults: %d schedules, %d states, %d violations, %d ms%n",
                instances,
                FAULTS,
                schedules,
                states.size(),
                violations.size(),
                (System.nanoTime() - start) / 1_000_000);
        assertEquals(List.of(), violations.stream().limit(5).toList());
    }

    private static List<Event> eventsOf(int instances) {
        List<Event> events = new ArrayList<>();
        for (int age : AGES) {
            events.add(new Return(age));
        }
        for (int instance = 0; instance < instances; instance++) {
            events.add(new InstanceFault(LeaseFault.PAUSE, instance));
            events.add(new InstanceFault(LeaseFault.PARTITION, instance));
            events.add(new InstanceFault(LeaseFault.STOP, instance));
            events.add(new InstanceFault(LeaseFault.RESTART, instance));
        }
        return events;
    }

    /** Runs all schedules that begin with the chosen events. */
    private void extend(int instances, List<Event> events, List<Timed> chosen, int from) {
        if (chosen.size() == FAULTS) {
            long returns = chosen.stream().filter(each -> each.event() instanceof Return).count();
            if (returns > 0 && returns <= MOST_RETURNS) {
                run(instances, chosen);
            }
            return;
        }
        for (int place = from; place < SECONDS * events.size(); place++) {
            chosen.add(new Timed(place / events.size(), events.get(place % events.size())));
            extend(instances, events, chosen, place + 1);
            chosen.remove(chosen.size() - 1);
        }
    }

    private void run(int instances, List<Timed> schedule) {
        schedules++;
        LeaseSimulation simulation =
                LeaseSimulation.withReliableStore(1, instances, StoreEra.FIRST, STEP);
        TreeMap<Integer, List<Event>> bySecond = new TreeMap<>();
        schedule.forEach(
                each ->
                        bySecond.computeIfAbsent(each.second(), second -> new ArrayList<>())
                                .add(each.event()));
        int end = bySecond.lastKey() + (int) AFTER_FAULTS.toSeconds();
        for (int second = 0; second < end; second++) {
            bySecond.getOrDefault(second, List.of()).forEach(each -> each.happen(simulation));
            simulation.run(Duration.ofSeconds(1), false);
            states.add(simulation.state());
        }
        OrderTurns.violation(simulation.orders).ifPresent(v -> violations.add(schedule + ": " + v));
    }
}
