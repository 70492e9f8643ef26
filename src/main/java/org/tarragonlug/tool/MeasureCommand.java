package org.tarragonlug.tool;

import org.tarragonlug.measure.Deployment;
import org.tarragonlug.measure.KeepWarmMeasurement;
import org.tarragonlug.measure.MembershipMeasurement;
import org.tarragonlug.measure.RequestMeasurement;
import org.tarragonlug.measure.ScaleMeasurement;
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
            name = "scale",
            mixinStandardHelpOptions = true,
            description = "Cost of the decisions by the size of their state, for docs/CAPACITY.md.")
    int scale(@Option(names = "--seed", defaultValue = "1") long seed) {
        ScaleMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }
}
