package org.tarragonlug.simulation;

import java.io.PrintStream;
import org.tarragonlug.decision.Hasher;

/** Plays a scenario in virtual time and prints how its requests ended. */
public final class FleetMeasurement {
    private FleetMeasurement() {}

    /**
     * Plays a scenario and prints its table.
     *
     * @param scenario the scenario
     * @param instances number of instances
     * @param hasher hashes requests and prefixes to servers
     * @param statedPaces whether servers state their pace with their load
     * @param seed seed of the traffic and the placement at the start
     * @param output receives the table
     */
    public static void run(
            FleetScenarios scenario,
            int instances,
            boolean statedPaces,
            Hasher hasher,
            long seed,
            PrintStream output) {
        FleetSimulation simulation =
                new FleetSimulation(scenario.scenario(instances), hasher, seed);
        if (statedPaces) {
            simulation.statePaces();
        }
        FleetRecorder recorder = simulation.run();
        output.printf("%s, %d instances, seed %d%n", scenario, instances, seed);
        recorder.print(output);
        output.println("orders: " + simulation.planner().orders());
        long read = simulation.servers().stream().mapToLong(ModelServer::readTokens).sum();
        long shared = simulation.servers().stream().mapToLong(ModelServer::readPrefixTokens).sum();
        int violations = simulation.servers().stream().mapToInt(ModelServer::violations).sum();
        output.printf(
                "remote loads %d, prompt tokens read %d (shared %d), overloads %d%n",
                simulation.remoteLoads(), read, shared, violations);
        int crashes =
                simulation.servers().stream().mapToInt(each -> each.partCrashes().size()).sum();
        int arrivals =
                simulation.servers().stream()
                        .mapToInt(each -> each.crashingArrivals().size())
                        .sum();
        int messages =
                simulation.quarantines().stream().mapToInt(SimulatedQuarantine::messages).sum();
        output.printf(
                "crashing part: arrivals %d, crashes %d; quarantined %s, messages %d%n",
                arrivals, crashes, simulation.quarantines().get(0).convicted(), messages);
    }
}
