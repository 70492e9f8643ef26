package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Many rare models without any copy are asked for at once, while the weight store serves a few
 * loads at a time and all servers are full of idle models.
 */
class StoreLoadReservationTest {
    private static final int SERVERS = 8;
    private static final int RARE_MODELS = 12;

    private final List<String> rareModels = names("rare-", RARE_MODELS);
    private PlannerFixture planner;

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            names.add(prefix + number);
        }
        return names;
    }

    @BeforeEach
    void askForAllRareModels() {
        List<String> held = names("held-", SERVERS);
        List<String> all = new ArrayList<>(held);
        all.addAll(rareModels);
        all.add("copied");
        planner = new PlannerFixture(all, 150);
        planner.addServers(held.stream().map(List::of).toList(), Set.of("copied"));
        planner.run(Duration.ofSeconds(2), List.of(), rareModels);
    }

    /**
     * Guards against servers that give up their models for loads which the weight store cannot
     * serve yet. All servers did so in the same round, and were then kept from other work for
     * minutes.
     */
    @Test
    void onlyAsManyServersMakeRoomAsTheStoreServes() {
        Set<?> unloading = planner.orderedServers(OrderAction.UNLOAD);
        assertEquals(WeightStoreLimit.INITIAL_PARALLEL_LOADS, unloading.size(), "" + unloading);
    }

    /** Guards against servers that stay reserved and take no part in loads from local copies. */
    @Test
    void otherServersLoadLocalCopiesMeanwhile() {
        int before = planner.orderedServers(OrderAction.UNLOAD).size();
        List<String> waitedFor = new ArrayList<>(rareModels);
        waitedFor.add("copied");
        planner.run(Duration.ofSeconds(2), List.of(), waitedFor);
        assertEquals(before + 1, planner.orderedServers(OrderAction.UNLOAD).size());
    }
}
