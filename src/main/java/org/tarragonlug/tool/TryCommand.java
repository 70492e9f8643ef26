package org.tarragonlug.tool;

import java.util.concurrent.Callable;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.trial.GatewayTrial;
import org.tarragonlug.trial.Trial;
import org.tarragonlug.trial.TrialResult;
import org.tarragonlug.trial.TrialSettings;
import org.tarragonlug.trial.TrialTable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the system on loopback, with stand-ins for all outside systems. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = {
            "Runs entry instances and stand-ins under load and checks the system's guarantees.",
            "All instances and stand-ins run in this process on loopback.",
            "Exit status: 0 all checks passed, 1 a check failed, 2 an option is out of bounds."
        })
public final class TryCommand implements Callable<Integer> {
    @Option(
            names = "--deployment",
            defaultValue = "CARGAS",
            description = "Deployment whose sizes and tables are used: ${COMPLETION-CANDIDATES}.")
    private Deployment deployment;

    @Option(
            names = "--instances",
            defaultValue = "8",
            description = "Number of entry instances, 1 to 32.")
    private int instances;

    @Option(
            names = "--seconds",
            defaultValue = "12",
            description = "Time in seconds during which ordinary requests are sent, 1 to 3600.")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "40",
            description = "Requests per second over all instances, 1 to 1000.")
    private int rate;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the random load.")
    private long seed;

    @Option(
            names = "--faults",
            description =
                    "Inject random faults while requests are sent, and run additional checks.")
    private boolean faults;

    @Option(
            names = "--gateway",
            description =
                    "Instead of entry instances, run one gateway with stand-ins of the users'"
                            + " platform, and send one request of each kind.")
    private boolean gateway;

    @Option(
            names = "--format",
            defaultValue = "TEXT",
            description = "Format of the result: ${COMPLETION-CANDIDATES}.")
    private OutputFormat format;

    @Override
    public Integer call() throws Exception {
        if (gateway) {
            GatewayTrial trial = new GatewayTrial(line -> System.err.println("# " + line));
            return trial.run() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
        }
        if (instances < 1 || instances > 32 || seconds < 1 || seconds > 3600) {
            System.err.println("--instances must be from 1 to 32, --seconds from 1 to 3600");
            return ExitStatus.INVALID_INPUT;
        }
        if (rate < 1 || rate > 1000) {
            System.err.println("--rate must be from 1 to 1000");
            return ExitStatus.INVALID_INPUT;
        }
        TrialSettings settings =
                new TrialSettings(deployment, instances, seconds, rate, seed, faults);
        TrialResult result = new Trial(settings, line -> System.err.println("# " + line)).run();
        if (format == OutputFormat.JSON) {
            System.out.println(result.toJson().toPrettyString());
        } else {
            System.out.print(TrialTable.format(result));
        }
        return result.isSuccessful() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
    }
}
