package org.tarragonlug.tool;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.engine.HttpEngineClient;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.trial.LoadResult;
import org.tarragonlug.trial.LoadRun;
import org.tarragonlug.trial.LoadSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends a closed-loop load to entry instances on loopback and prints the latencies. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Sends a closed-loop load to entry instances on loopback.",
            "Prints the latencies. With --baseline the same load is sent directly to a model "
                    + "engine "
                    + "first.",
            "Exit status: 0 all answered, 1 some failed."
        })
public final class LoadCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @Option(
            names = "--target",
            required = true,
            arity = "1..*",
            converter = AddressConverter.class,
            description = "Caller addresses of entry instances, such as 127.0.0.1:8001.")
    private List<InetSocketAddress> targets;

    @Option(
            names = "--baseline",
            converter = AddressConverter.class,
            description = "Address of an engine that has the model loaded.")
    private InetSocketAddress baseline;

    @Option(names = "--model", required = true, description = "Name of the model or adapter.")
    private String model;

    @Option(
            names = "--tokens",
            defaultValue = "1",
            description = "Number of tokens in each answer.")
    private int tokens;

    @Option(
            names = "--concurrency",
            defaultValue = "4",
            description = "Number of requests in progress, 1 to 1000.")
    private int concurrency;

    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "Measured time in seconds, 1 to 600.")
    private int seconds;

    @Option(
            names = "--warm-up",
            defaultValue = "2",
            description = "Seconds of load that are sent first and not measured.")
    private int warmUp;

    @Override
    public Integer call() throws InterruptedException {
        if (concurrency < 1 || concurrency > 1000 || seconds < 1 || seconds > 600) {
            System.err.println("--concurrency must be from 1 to 1000, --seconds from 1 to 600");
            return ExitStatus.INVALID_INPUT;
        }
        if (targets.stream().anyMatch(address -> !address.getAddress().isLoopbackAddress())) {
            System.err.println(
                    "--target must be a loopback address: the load command is only for local "
                            + "trials");
            return ExitStatus.INVALID_INPUT;
        }
        LoadSettings settings =
                new LoadSettings(
                        targets,
                        model,
                        tokens,
                        concurrency,
                        Duration.ofSeconds(warmUp),
                        Duration.ofSeconds(seconds),
                        TIMEOUT);
        try (AdminClient client = new AdminClient()) {
            return run(settings, client.connections());
        }
    }

    private int run(LoadSettings settings, HttpConnections connections)
            throws InterruptedException {
        HttpEngineClient engines =
                new HttpEngineClient(connections, TIMEOUT, TIMEOUT, Instant::now);
        if (baseline != null) {
            LoadResult direct = new LoadRun(settings, connections, engines).atEngine(baseline);
            System.out.println(direct.formatLine("baseline"));
        }
        LoadResult result = new LoadRun(settings, connections, engines).throughInstances();
        System.out.println(result.formatLine("result"));
        return result.failed().isEmpty() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
    }
}
