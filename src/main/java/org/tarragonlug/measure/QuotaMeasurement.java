package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * Measures quotas over many instances, beside equal shares per instance and one bucket with perfect
 * knowledge in the same run.
 */
public final class QuotaMeasurement {
    private static final int[] INSTANCES = {8, 71, 95, 300, 410};
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final List<QuotaScenario.Arrivals> WITHIN_ARRIVALS =
            List.of(
                    QuotaScenario.Arrivals.EVEN,
                    QuotaScenario.Arrivals.HALF_AT_ONE,
                    QuotaScenario.Arrivals.MOVING);
    private static final double WITHIN = 0.9;
    private static final double BEYOND = 3;
    private static final double SLACK = 110_000;

    private QuotaMeasurement() {}

    /**
     * Prints the results for several numbers of instances, loads and faults.
     *
     * @param seed seed of the arrivals, messages and faults
     * @param output receives the table
     */
    public static void run(long seed, PrintStream output) {
        output.printf("quotas: seed %d, %d s after the warm-up%n", seed, LENGTH.toSeconds());
        output.println("Admitted: share of the cost of all requests.");
        output.println(
                "| instances | arrivals | use | faults | requests | admitted | one bucket"
                        + " | equal shares | refused within | largest window | waited"
                        + " | B/s per instance |");
        output.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (int instances : INSTANCES) {
            for (QuotaScenario.Arrivals arrivals : WITHIN_ARRIVALS) {
                print(instances, arrivals, WITHIN, QuotaScenario.Faults.NONE, seed, output);
            }
            print(
                    instances,
                    QuotaScenario.Arrivals.BURSTS,
                    BEYOND,
                    QuotaScenario.Faults.NONE,
                    seed,
                    output);
            for (QuotaScenario.Faults faults : QuotaScenario.Faults.values()) {
                if (faults != QuotaScenario.Faults.NONE) {
                    print(instances, QuotaScenario.Arrivals.EVEN, WITHIN, faults, seed, output);
                }
                print(instances, QuotaScenario.Arrivals.EVEN, BEYOND, faults, seed, output);
            }
        }
    }

    private static void print(
            int instances,
            QuotaScenario.Arrivals arrivals,
            double use,
            QuotaScenario.Faults faults,
            long seed,
            PrintStream output) {
        QuotaScenario scenario = new QuotaScenario(instances, arrivals, use, faults, SLACK, LENGTH);
        QuotaResult result = new QuotaSimulation(scenario, seed).run();
        output.printf(
                "| %d | %s | %.1f | %s | %d | %.4f | %.4f | %.4f | %.4f | %.3f | %.4f | %.0f |%n",
                instances,
                arrivals.name().toLowerCase(Locale.ROOT),
                use,
                faults.name().toLowerCase(Locale.ROOT),
                result.requests(),
                result.admittedShare(),
                result.globalShare(),
                result.equalShare(),
                result.refusedWithinShare(),
                result.largestUse(),
                share(result.waited(), result),
                result.bytesPerSecond());
    }

    private static double share(long count, QuotaResult result) {
        return (double) count / result.requests();
    }
}
