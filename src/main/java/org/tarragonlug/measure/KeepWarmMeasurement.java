package org.tarragonlug.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.capacity.DefaultKeepWarmPolicy;
import org.tarragonlug.decision.capacity.KeepWarmPolicy;
import org.tarragonlug.decision.configuration.ArtifactLimit;

/**
 * Compares keep-warm policies in virtual time, on the same traffic of a deployment. The first 28
 * days train the policies, and the following day is measured.
 */
public final class KeepWarmMeasurement {
    private static final int TRAINING_DAYS = 28;
    private static final Duration NEVER = Duration.ofDays(365);
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final double MAXIMUM = 100;

    private KeepWarmMeasurement() {}

    /**
     * Runs all policies with the deployment's cold-start weight and prints their results.
     *
     * @param deployment deployment that determines the traffic and the sizes
     * @param seed seed of the traffic, the model sizes and the load times
     * @param out receives the results
     */
    public static void run(Deployment deployment, long seed, PrintStream out) {
        run(deployment, seed, deployment.coldStartWeight(), out);
    }

    /**
     * Runs all policies with a given cold-start weight and prints their results.
     *
     * @param deployment deployment that determines the traffic and the sizes
     * @param seed seed of the traffic, the model sizes and the load times
     * @param coldStartWeight idle accelerator seconds that one second of cold-start wait is worth
     * @param out receives the results
     */
    public static void run(
            Deployment deployment, long seed, double coldStartWeight, PrintStream out) {
        List<ArtifactLimit> models = ModelCatalogue.models(deployment.models(), new Random(seed));
        List<TrafficTrace.Arrival> arrivals =
                deployment.traffic(TRAINING_DAYS + 1, new Random(seed + 1)).sorted();
        printSizes(deployment, seed, coldStartWeight, models, arrivals, out);
        Map<String, KeepWarmResult> results = new LinkedHashMap<>();
        policies(models)
                .forEach(
                        (name, policy) -> {
                            KeepWarmSimulation simulation =
                                    new KeepWarmSimulation(
                                            deployment,
                                            arrivals,
                                            models,
                                            policy.get(),
                                            coldStartWeight,
                                            TRAINING_DAYS * TrafficTrace.DAY,
                                            seed + 2);
                            results.put(
                                    name, simulation.run((TRAINING_DAYS + 1) * TrafficTrace.DAY));
                        });
        out.println(
                "policy      cold p50/p99/max s     all p50/p99/max s"
                        + "      cold starts  prewarmed  idle hours  store loads");
        results.forEach((name, result) -> out.println(row(name, result)));
        printComparison(results.get("fixed-10m"), results.get("tarragonlug"), out);
    }

    private static Map<String, Supplier<KeepWarmPolicy>> policies(List<ArtifactLimit> models) {
        Map<String, Supplier<KeepWarmPolicy>> policies = new LinkedHashMap<>();
        policies.put("never", () -> new FixedTimeoutPolicy(NEVER));
        policies.put("fixed-10m", () -> new FixedTimeoutPolicy(Duration.ofMinutes(10)));
        policies.put("at-once", () -> new FixedTimeoutPolicy(Duration.ZERO));
        policies.put("tarragonlug", () -> new DefaultKeepWarmPolicy(ModelCatalogue.shares(models)));
        return policies;
    }

    private static void printSizes(
            Deployment deployment,
            long seed,
            double coldStartWeight,
            List<ArtifactLimit> models,
            List<TrafficTrace.Arrival> arrivals,
            PrintStream out) {
        long measuredFrom = TRAINING_DAYS * TrafficTrace.DAY;
        long measured = arrivals.stream().filter(a -> a.atMillis() >= measuredFrom).count();
        long bytes = models.stream().mapToLong(ArtifactLimit::memoryBytes).sum();
        out.printf(
                Locale.ROOT,
                "measure=warmth deployment=%s seed=%d servers=%d acceleratorsPerServer=%d"
                        + " memoryGB=%d models=%d modelsGB=%d adapters=%d coldStartWeight=%.1f"
                        + " trainingDays=%d requests=%d measuredRequests=%d%n",
                deployment,
                seed,
                deployment.servers(),
                SimulatedServer.ACCELERATORS,
                deployment.servers()
                        * SimulatedServer.ACCELERATORS
                        * SimulatedServer.ACCELERATOR_BYTES
                        / ModelCatalogue.GIGABYTE,
                models.size(),
                bytes / ModelCatalogue.GIGABYTE,
                deployment.adapters(),
                coldStartWeight,
                TRAINING_DAYS,
                arrivals.size(),
                measured);
    }

    private static String row(String name, KeepWarmResult result) {
        return String.format(
                Locale.ROOT,
                "%-11s %-22s %-22s %11d %10d %11.1f %12d",
                name,
                percentiles(result.coldStartWaits),
                percentiles(result.allWaits),
                result.coldStarts,
                result.prewarmed,
                result.idleHours,
                result.remoteLoads);
    }

    private static String percentiles(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%.2f/%.2f/%.2f",
                KeepWarmResult.seconds(histogram, MEDIAN),
                KeepWarmResult.seconds(histogram, TAIL),
                KeepWarmResult.seconds(histogram, MAXIMUM));
    }

    private static void printComparison(
            KeepWarmResult baseline, KeepWarmResult result, PrintStream out) {
        double cold = KeepWarmResult.seconds(result.coldStartWaits, TAIL);
        double coldBaseline = KeepWarmResult.seconds(baseline.coldStartWaits, TAIL);
        double all = KeepWarmResult.seconds(result.allWaits, TAIL);
        double allBaseline = KeepWarmResult.seconds(baseline.allWaits, TAIL);
        out.printf(
                Locale.ROOT,
                "against fixed-10m: idleHours=%+.1f%% p99Cold=%.2fx p99All=%.2fx%n",
                100 * (result.idleHours / baseline.idleHours - 1),
                cold / coldBaseline,
                all / allBaseline);
    }
}
