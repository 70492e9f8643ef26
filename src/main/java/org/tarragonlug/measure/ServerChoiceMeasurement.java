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
    private static final int[] MANY_INSTANCES = {8, 95, 410};
    private static final ServerChoice[] WITHOUT_PACE = {
        ServerChoice.LOWEST_KNOWN_COST,
        ServerChoice.SELECTOR_ALONE,
        ServerChoice.SELECTOR_WITH_TOTALS,
        ServerChoice.OMNISCIENT
    };
    private static final ServerChoice[] WITH_PACE = {
        ServerChoice.TOTALS_ONLY,
        ServerChoice.SELECTOR_WITH_TOTALS,
        ServerChoice.STATED_PACE,
        ServerChoice.LEARNT_PACE,
        ServerChoice.EXCHANGED_PACE,
        ServerChoice.ASKING_ONE,
        ServerChoice.ASKING_TWO,
        ServerChoice.OMNISCIENT
    };
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
                    for (ServerChoice choice : WITHOUT_PACE) {
                        print(scenario, choice, hasher, seed, output);
                    }
                }
            }
        }
        runUneven(hasher, seed, output);
    }

    private static void runUneven(Hasher hasher, long seed, PrintStream output) {
        output.printf("choice among uneven servers: seed %d, %d s%n", seed, LENGTH.toSeconds());
        output.println(
                "| servers | rule | instances | use | requests | rejected | met slow | busiest/mean"
                        + " | wait p50 ms | p99 | time p50 ms | p99 |");
        for (int instances : MANY_INSTANCES) {
            for (ServerChoice choice : WITH_PACE) {
                for (double use : USES) {
                    printUneven(
                            "unsteady",
                            unevenModels(instances, use, ServerSpeeds.UNSTEADY),
                            choice,
                            hasher,
                            seed,
                            output);
                    printUneven(
                            "unsteady, uneven",
                            unevenModels(instances, use, ServerSpeeds.UNSTEADY_AND_UNEVEN),
                            choice,
                            hasher,
                            seed,
                            output);
                    printUneven(
                            "plain, unsteady",
                            unevenPlain(instances, use, ServerSpeeds.UNSTEADY_PLAIN),
                            choice,
                            hasher,
                            seed,
                            output);
                }
            }
        }
    }

    private static void printUneven(
            String servers,
            ServerChoiceScenario scenario,
            ServerChoice choice,
            Hasher hasher,
            long seed,
            PrintStream output) {
        ServerChoiceResult result =
                new ServerChoiceSimulation(scenario, choice, hasher, seed).run(LENGTH);
        output.printf(
                "| %s | %s | %d | %.1f | %d | %.4f | %.3f | %.2f | %.0f | %.0f | %.0f | %.0f |%n",
                servers,
                choice.name().toLowerCase(java.util.Locale.ROOT),
                scenario.instances(),
                scenario.use(),
                result.requests(),
                result.rejectedShare(),
                result.slowShare(),
                result.busiestToMean(),
                result.waitP50Millis(),
                result.waitP99Millis(),
                result.timeP50Millis(),
                result.timeP99Millis());
    }

    /** Returns a model on ten servers of twelve slots in five failure domains. */
    static ServerChoiceScenario scenario(int instances, double use, int slowServers) {
        return new ServerChoiceScenario(
                instances, 10, 5, 12, 36, use, 450, 0.05, slowServers, 4, ServerSpeeds.EVEN, false);
    }

    /** Returns a model service of fifty servers of sixteen slots whose speeds differ. */
    static ServerChoiceScenario unevenModels(int instances, double use, ServerSpeeds speeds) {
        return new ServerChoiceScenario(
                instances, 50, 5, 16, 48, use, 450, 0.05, 0, 1, speeds, false);
    }

    /** Returns a plain service of three servers of six slots, whose requests are short. */
    static ServerChoiceScenario unevenPlain(int instances, double use, ServerSpeeds speeds) {
        return new ServerChoiceScenario(instances, 3, 3, 6, 48, use, 21, 0.05, 0, 1, speeds, true);
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
