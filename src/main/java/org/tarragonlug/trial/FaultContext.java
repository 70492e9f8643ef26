package org.tarragonlug.trial;

import java.util.List;
import java.util.Random;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.PlainServiceStandIn;
import org.tarragonlug.standin.StandInPlatform;

/**
 * The systems that a fault can affect.
 *
 * @param platform the outside systems
 * @param fleet the entry instances
 * @param fleetChanges replaces engines and entry instances
 * @param racingOperators edits the tables concurrently
 * @param crashingCaller sends requests that crash engines
 * @param random chooses the affected server or instance; seeded for each fault
 */
record FaultContext(
        StandInPlatform platform,
        TrialFleet fleet,
        FleetChanges fleetChanges,
        RacingOperators racingOperators,
        CrashingCaller crashingCaller,
        Random random) {
    EngineStandIn randomEngine() {
        List<EngineStandIn> engines = platform.engines();
        return engines.get(random.nextInt(engines.size()));
    }

    PlainServiceStandIn randomService() {
        List<PlainServiceStandIn> services = platform.services();
        return services.get(random.nextInt(services.size()));
    }

    EntryInstance randomInstance() {
        List<EntryInstance> instances = fleet.instances();
        return instances.get(random.nextInt(instances.size()));
    }
}
