package org.tarragonlug.tool;

import org.tarragonlug.measure.Deployment;
import org.tarragonlug.measure.KeepWarmMeasurement;
import org.tarragonlug.measure.MembershipMeasurement;
import org.tarragonlug.measure.RequestMeasurement;
import org.tarragonlug.measure.ScaleMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs measurements; the results of the present release are in docs/measurements.md. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Runs a measurement in virtual time and prints baseline and result.")
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
                            description = "Whose sizes and load to use: ${COMPLETION-CANDIDATES}.")
                    Deployment deployment,
            @Option(names = "--seed", defaultValue = "1", description = "Seeds the random numbers.")
                    long seed) {
        KeepWarmMeasurement.run(deployment, seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "requests",
            mixinStandardHelpOptions = true,
            description = "Goodput, latency and faults of requests against naive versions.")
    int requests(@Option(names = "--seed", defaultValue = "1") long seed) {
        RequestMeasurement.run(seed, System.out);
        return ExitStatus.SUCCESS;
    }

    @Command(
            name = "membership",
            mixinStandardHelpOptions = true,
            description = "Detection time, false alarms and bytes of failure detectors.")
    int membership(
            @Option(names = "--seed", defaultValue = "1", description = "Seeds the random numbers.")
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
