package org.tarragonlug.tool;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tarragonlug.soak.Soak;
import org.tarragonlug.soak.SoakSettings;
import org.tarragonlug.soak.SoakShape;
import org.tarragonlug.soak.SoakShapeReader;
import org.tarragonlug.trial.GatewayChild;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs gateway processes under signals and faulty servers. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs gateway processes on loopback under random signals and changes of the"
                    + " configuration, with servers that restart, pause, refuse, break off and"
                    + " send answers once more, a store that fails and callers that come back, and"
                    + " checks what servers and callers see.",
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
            names = "--shape",
            defaultValue = "three",
            description =
                    "JSON file with what is played, or one of three, few, silent, small,"
                            + " grown, wide, large, accounts, crowded, pressed, restored,"
                            + " restored-few, restored-grown, restored-large,"
                            + " restored-accounts; the store of the last five returns from older"
                            + " copies.")
    private String shapeName;

    @Option(
            names = "--gateways",
            description = "Number of gateway processes, 1 to 100, instead of that of the shape.")
    private Integer gateways;

    @Option(
            names = "--program",
            defaultValue = ".",
            description = "Directory with the built program whose gateways are run.")
    private Path program;

    @Override
    public Integer call() throws Exception {
        if (seconds < 1 || seconds > 3600) {
            System.err.println("--seconds must be from 1 to 3600");
            return ExitStatus.INVALID_INPUT;
        }
        SoakShape shape;
        try {
            SoakShape read = SoakShapeReader.read(shapeName);
            shape = gateways == null ? read : read.withGateways(gateways);
        } catch (IllegalArgumentException | IOException fault) {
            System.err.println("shape " + shapeName + ": " + fault.getMessage());
            return ExitStatus.INVALID_INPUT;
        }
        SoakSettings settings =
                new SoakSettings(seed, seconds, shape, program, GatewayChild.command(program));
        boolean held = new Soak(settings, System.out::println).run();
        return held ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
    }
}
