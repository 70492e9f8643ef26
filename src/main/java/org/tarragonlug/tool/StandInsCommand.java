package org.tarragonlug.tool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.StandInPlatform;
import org.tarragonlug.trial.SettingsWriter;
import org.tarragonlug.trial.StandInControl;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-ins of all outside systems, for entry instances in processes of their own. */
@Command(
        name = "stand-ins",
        mixinStandardHelpOptions = true,
        description = {
            "Runs stand-ins of all outside systems on loopback, for trials.",
            "The entry instances run in processes of their own. Writes the settings of each as "
                    + "entry-N.json into a directory. Reads commands from standard input, "
                    + "one a line, and "
                    + "answers each with one line of JSON; ends with exit or at the end of "
                    + "the input:",
            "  outage on|off, slow MILLISECONDS, lose COUNT, leave SERVER, crash SERVER,",
            "  remove INSTANCE, rate REQUESTS_PER_SECOND, addresses, truth, exit",
            "Exit status: 0 ended, 2 an option is out of its bounds."
        })
public final class StandInsCommand implements Callable<Integer> {
    private static final int IO_THREADS = 4;
    private static final int MAXIMUM_INSTANCES = 32;

    @Option(
            names = "--deployment",
            defaultValue = "CARGAS",
            description = "Whose sizes and tables to use: ${COMPLETION-CANDIDATES}.")
    private Deployment deployment;

    @Option(
            names = "--instances",
            defaultValue = "8",
            description = "Number of settings files to write, 1 to 32.")
    private int instances;

    @Option(
            names = "--directory",
            required = true,
            description = "Existing directory for the settings files.")
    private Path directory;

    @Option(
            names = "--scale",
            defaultValue = "0.1",
            description = "Real seconds for each nominal second of load and token times, above 0.")
    private double scale;

    @Override
    public Integer call() throws IOException {
        if (!Files.isDirectory(directory)) {
            System.err.println("--directory must name an existing directory: " + directory);
            return ExitStatus.INVALID_INPUT;
        }
        if (instances < 1 || instances > MAXIMUM_INSTANCES || !(scale > 0)) {
            System.err.println("--instances must be 1 to 32, --scale above 0");
            return ExitStatus.INVALID_INPUT;
        }
        IoExecutor ioExecutor = IoThreads.create(IO_THREADS);
        try (StandInPlatform platform = new StandInPlatform(deployment, ioExecutor, scale)) {
            SettingsWriter writer = new SettingsWriter(platform);
            for (int number = 1; number <= instances; number++) {
                Path file = directory.resolve("entry-" + number + ".json");
                Files.writeString(file, writer.write(number).toPrettyString());
            }
            System.out.println("{\"started\":true}");
            System.out.flush();
            executeCommands(new StandInControl(platform));
        } finally {
            ioExecutor.closeAsync().subscribe();
        }
        return ExitStatus.SUCCESS;
    }

    private static void executeCommands(StandInControl control) throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        while (true) {
            String line = input.readLine();
            if (line == null || line.equals("exit")) {
                return;
            }
            ObjectNode answer = control.execute(line);
            System.out.println(answer);
            System.out.flush();
        }
    }
}
