package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import org.tarragonlug.decision.Hasher;

/**
 * Compares rules for the choice of a server among many instances, with one rule that knows too
 * little and one that knows everything as baselines.
 */
public final class ServerChoiceMeasurement {
    private static final int[] INSTANCES = {8, 95, 300, 410};
    private static final double[] USES = {0.3, 0.6};
    private static final int[] SLOW_SERVERS = {0, 2};
    private static final Duration LENGTH = Duration.ofSeconds(30);

    private ServerChoiceMeasurement() {}

    /**
     * Prints the results for several numbers of instances and loads.
     *
     * @param hasher hashes requests to servers
     * @param seed seed of the arrivals and service times
     * @param output receives the table
     */
    public static void run(Hasher hasher, long seed, PrintStream output) {
        output.printf("choice of servers: seed %d, %d s%n", seed, LENGTH.toSeconds());
        output.println(
                "| rule | slow | instances | use | requests | rejected | busiest/mean"
                        + " | wait p50 ms | p99 | max | own domain |");
        for (int slowServers : SLOW_SERVERS) {
            for (double use : USES) {
                for (int instances : INSTANCES) {
                    ServerChoiceScenario scenario = scenario(instances, use, slowServers);
                    for (ServerChoice choice : ServerChoice.values()) {
                        print(scenario, choice, hasher, seed, output);
                    }
                }
            }
        }
    }

    /** Returns a model on ten servers of twelve slots in five failure domains. */
    static ServerChoiceScenario scenario(int instances, double use, int slowServers) {
        return new ServerChoiceScenario(instances, 10, 5, 12, 36, use, 450, 0.05, slowServers, 4);
    }

    private static void print(
            ServerChoiceScenario scenario,
            ServerChoice choice,
            Hasher hasher,
            long seed,
            PrintStream output) {
        ServerChoiceResult result =
                new ServerChoiceSimulation(scenario, choice, hasher, seed).run(LENGTH);
        output.printf(
                "| %s | %d | %d | %.1f | %d | %.4f | %.2f | %.0f | %.0f | %.0f | %.2f |%n",
                choice.name().toLowerCase(java.util.Locale.ROOT),
                scenario.slowServers(),
                scenario.instances(),
                scenario.use(),
                result.requests(),
                result.rejectedShare(),
                result.busiestToMean(),
                result.waitP50Millis(),
                result.waitP99Millis(),
                result.waitMaxMillis(),
                result.homeShare());
    }
}
