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

/** Runs the system with stand-ins for everything around it, on loopback. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = {
            "Runs entry instances and stand-ins under load and checks what must hold.",
            "Everything runs in this process on loopback.",
            "Exit status: 0 all held, 1 something broke, 2 an option is out of its bounds."
        })
public final class TryCommand implements Callable<Integer> {
    @Option(
            names = "--deployment",
            defaultValue = "CARGAS",
            description = "Whose sizes and tables to use: ${COMPLETION-CANDIDATES}.")
    private Deployment deployment;

    @Option(
            names = "--instances",
            defaultValue = "8",
            description = "Number of entry instances, 1 to 32.")
    private int instances;

    @Option(
            names = "--seconds",
            defaultValue = "12",
            description = "Length of the stream of ordinary requests, 1 to 3600.")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "40",
            description = "Requests a second over all instances, 1 to 1000.")
    private int rate;

    @Option(names = "--seed", defaultValue = "1", description = "Seeds the load.")
    private long seed;

    @Option(
            names = "--faults",
            description = "Provoke random faults during the stream and check more.")
    private boolean faults;

    @Option(
            names = "--gateway",
            description =
                    "Run one gateway before stand-ins of the users' platform instead, and send"
                            + " one request of each kind.")
    private boolean gateway;

    @Option(
            names = "--format",
            defaultValue = "TEXT",
            description = "Form of the result: ${COMPLETION-CANDIDATES}.")
    private OutputFormat format;

    @Override
    public Integer call() throws Exception {
        if (gateway) {
            GatewayTrial trial = new GatewayTrial(line -> System.err.println("# " + line));
            return trial.run() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
        }
        if (instances < 1 || instances > 32 || seconds < 1 || seconds > 3600) {
            System.err.println("--instances must be 1 to 32, --seconds 1 to 3600");
            return ExitStatus.INVALID_INPUT;
        }
        if (rate < 1 || rate > 1000) {
            System.err.println("--rate must be 1 to 1000");
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
