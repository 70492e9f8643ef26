package org.tarragonlug.tool;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.gateway.Gateway;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.gateway.GatewaySettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs a gateway on the users' platform until it is told to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a gateway on the users' platform until SIGTERM, which stops it gracefully.",
            "SIGHUP checks the settings file and logs what is wrong with it.",
            "Logs one line of key=value pairs per event to standard output.",
            "Exit status: 0 stopped gracefully, 1 failed, 2 the settings are invalid or an "
                    + "address is in use."
        })
public final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--settings",
            description =
                    "JSON file with the settings; the environment variable "
                            + "TARRAGONLUG_NODE_FILE names it otherwise.",
            defaultValue = "${env:TARRAGONLUG_NODE_FILE}",
            required = true)
    private Path settingsFile;

    @Override
    public Integer call() throws InterruptedException {
        Gateway gateway;
        GatewaySettings settings;
        try {
            settings = new GatewaySettingsLoader().load(settingsFile);
            gateway = new Gateway(settings);
            Signal.handle(new Signal("HUP"), signal -> checkSettings(gateway, settings));
            gateway.start();
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            boolean invalidInput =
                    failure.code() == ErrorCode.SETTINGS_INVALID
                            || failure.code() == ErrorCode.ADDRESS_IN_USE;
            return invalidInput ? ExitStatus.INVALID_INPUT : ExitStatus.FAILURE;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(gateway, settings), "drain"));
        new CountDownLatch(1).await();
        return ExitStatus.SUCCESS;
    }

    private void checkSettings(Gateway gateway, GatewaySettings inForce) {
        try {
            GatewaySettings changed = new GatewaySettingsLoader().load(settingsFile);
            gateway.onSettingsChanged(
                    changed.equals(inForce) ? "nothing of interest" : "in force after a restart");
        } catch (TarragonlugException invalid) {
            gateway.onSettingsChanged(invalid.getMessage());
        }
    }

    private static void drain(Gateway gateway, GatewaySettings settings) {
        try {
            gateway.drain()
                    .toCompletableFuture()
                    .get(settings.drainTime().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException late) {
            System.err.println("the drain did not end in time");
        }
        Runtime.getRuntime().halt(ExitStatus.SUCCESS);
    }
}
