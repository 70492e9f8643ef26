package org.tarragonlug.tool;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tarragonlug.soak.Soak;
import org.tarragonlug.soak.SoakSettings;
import org.tarragonlug.trial.GatewayChild;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs gateway processes under signals and faulty servers. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs gateway processes on loopback under random signals, with servers that restart,"
                    + " break off and send answers once more, and checks what servers and callers"
                    + " see.",
            "Prints one line a second, then each failed check with the log lines of its request.",
            "Exit status: 0 all checks held, 1 a check failed, 2 an option is out of bounds."
        })
public final class SoakCommand implements Callable<Integer> {
    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random choices.")
    private long seed;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "Time in seconds during which there are faults, 1 to 3600.")
    private int seconds;

    @Option(
            names = "--gateways",
            defaultValue = "3",
            description = "Number of gateway processes, 1 to 64.")
    private int gateways;

    @Option(
            names = "--program",
            defaultValue = ".",
            description = "Directory with the built program whose gateways are run.")
    private Path program;

    @Override
    public Integer call() throws Exception {
        if (seconds < 1 || seconds > 3600 || gateways < 1 || gateways > 64) {
            System.err.println("--seconds must be from 1 to 3600, --gateways from 1 to 64");
            return ExitStatus.INVALID_INPUT;
        }
        SoakSettings settings =
                new SoakSettings(seed, seconds, gateways, program, GatewayChild.command(program));
        boolean held = new Soak(settings, System.out::println).run();
        return held ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
    }
}
