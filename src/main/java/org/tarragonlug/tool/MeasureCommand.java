package org.tarragonlug.tool;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.measure.Deployment;
import org.tarragonlug.measure.KeepWarmMeasurement;
import org.tarragonlug.measure.MembershipMeasurement;
import org.tarragonlug.measure.QuotaMeasurement;
import org.tarragonlug.measure.RequestMeasurement;
import org.tarragonlug.measure.ScaleMeasurement;
import org.tarragonlug.measure.ServerChoiceMeasurement;
import org.tarragonlug.runtime.Hash4jHasher;
import org.tarragonlug.simulation.FleetMeasurement;
import org.tarragonlug.simulation.FleetScenarios;
import org.tarragonlug.trial.ProcessCostMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs measurements. The file docs/measurements.md has the results of the present release. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Runs a measurement in virtual time and prints the baseline and the result.")
public final class MeasureCommand {
    @Command(
            name = "warmth",
            mixinStandardHelpOptions = true,
            description =
                    "Cold starts and idle accelerator hours of keep-warm policies over a day.")
    int warmth(
            @Option(
                            names = "--deployment",
                            defaultValue = "CARGAS",
                            description =
                                    "Deployment whose sizes and load are used: "
                                            + "${COMPLETION-CANDIDATES}.")
                    Deployment deployment,
            @Option(
                            names = "--seed",
                            defaultValue = "1",
                            description = "Seed of the random numbers.")
                    long seed) {
        KeepWarmMeasurement.run(deployment, seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "requests",
            mixinStandardHelpOptions = true,
            description =
                    "Goodput, latency and faults of requests, compared with naive implementations.")
    int requests(@Option(names = "--seed", defaultValue = "1") long seed) {
        RequestMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "membership",
            mixinStandardHelpOptions = true,
            description = "Detection time, false alarms and sent bytes of failure detectors.")
    int membership(
            @Option(
                            names = "--seed",
                            defaultValue = "1",
                            description = "Seed of the random numbers.")
                    long seed) {
        MembershipMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "choice",
            mixinStandardHelpOptions = true,
            description =
                    "Load of the servers when many instances choose among them, by rule of choice.")
    int choice(
            @Option(
                            names = "--seed",
                            defaultValue = "1",
                            description = "Seed of the random numbers.")
                    long seed) {
        ServerChoiceMeasurement.run(new Hash4jHasher(), seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "quota",
            mixinStandardHelpOptions = true,
            description =
                    "Quotas of accounts over many instances, compared with equal shares and with "
                            + "one bucket.")
    int quota(
            @Option(
                            names = "--seed",
                            defaultValue = "1",
                            description = "Seed of the random numbers.")
                    long seed) {
        QuotaMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            description = "Requests through many instances, one planner and model servers.")
    int fleet(
            @Option(
                            names = "--scenario",
                            defaultValue = "RARE_MODELS",
                            description = "Deployment and load: ${COMPLETION-CANDIDATES}.")
                    FleetScenarios scenario,
            @Option(
                            names = "--instances",
                            defaultValue = "95",
                            description = "Number of instances.")
                    int instances,
            @Option(
                            names = "--stated-paces",
                            description = "Servers state their pace with their load.")
                    boolean statedPaces,
            @Option(
                            names = "--seed",
                            defaultValue = "1",
                            description = "Seed of the random numbers.")
                    long seed) {
        FleetMeasurement.run(
                scenario, instances, statedPaces, new Hash4jHasher(), seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "process",
            mixinStandardHelpOptions = true,
            description =
                    "Processor time of gateway processes, from their start to the end of a load.")
    int process(
            @Option(
                            names = "--program",
                            description =
                                    "Directory with a built program and its deploy/system.toml; "
                                            + "several are measured in turn.",
                            defaultValue = ".")
                    List<Path> programs,
            @Option(names = "--rounds", defaultValue = "5", description = "Processes of each.")
                    int rounds,
            @Option(names = "--seconds", defaultValue = "20", description = "Length of the load.")
                    int seconds,
            @Option(names = "--rate", defaultValue = "4", description = "Requests per second.")
                    int rate,
            @Option(names = "--servers", defaultValue = "40", description = "Servers listed.")
                    int servers,
            @Option(
                            names = "--changes",
                            defaultValue = "10",
                            description = "Changes of their entries per second.")
                    int changes)
            throws TarragonlugException, IOException, InterruptedException {
        try (ProcessCostMeasurement measurement =
                new ProcessCostMeasurement(
                        rate, servers, changes, Duration.ofSeconds(seconds), System.out)) {
            measurement.run(programs, rounds);
        }
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = "Cost of the decisions by the size of their state, for docs/CAPACITY.md.")
    int scale(@Option(names = "--seed", defaultValue = "1") long seed) {
        ScaleMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }
}
