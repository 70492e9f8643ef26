package org.tarragonlug.trial;

import java.util.List;
import java.util.Random;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.PlainServiceStandIn;
import org.tarragonlug.standin.StandInPlatform;

/**
 * What a fault can strike.
 *
 * @param platform the outside systems
 * @param fleet the entry instances
 * @param changes replaces servers and entry instances
 * @param operators edit the tables
 * @param crashes sends requests that crash engines
 * @param random chooses what is struck; seeded for each fault
 */
record FaultWorld(
        StandInPlatform platform,
        TrialFleet fleet,
        FleetChanges changes,
        RacingOperators operators,
        CrashingCaller crashes,
        Random random) {
    EngineStandIn anyEngine() {
        List<EngineStandIn> engines = platform.engines();
        return engines.get(random.nextInt(engines.size()));
    }

    PlainServiceStandIn anyService() {
        List<PlainServiceStandIn> services = platform.services();
        return services.get(random.nextInt(services.size()));
    }

    EntryInstance anyInstance() {
        List<EntryInstance> instances = fleet.instances();
        return instances.get(random.nextInt(instances.size()));
    }
}
