package org.tarragonlug.tool;

import io.servicetalk.concurrent.api.AsyncContext;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.gateway.Gateway;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.gateway.GatewaySettingsLoader;
import org.tarragonlug.runtime.LogConfigurator;
import sun.misc.Signal;

/**
 * A gateway from its start to its end by a signal.
 *
 * <p>{@link #main} is an entry point without a command line. Gateways restart often on small
 * machines, and parsing a command line takes a fifth of the processor time of a start.
 */
public final class GatewayProcess {
    private static final String SETTINGS_VARIABLE = "TARRAGONLUG_NODE_FILE";

    private GatewayProcess() {}

    /**
     * Runs a gateway with the settings in the file that the environment variable {@code
     * TARRAGONLUG_NODE_FILE} names, and exits with its status.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) throws InterruptedException {
        LogConfigurator.logToStandardOutput();
        String file = System.getenv(SETTINGS_VARIABLE);
        if (file == null) {
            System.err.println(
                    SETTINGS_VARIABLE + " is not set; set it to the path of a settings file");
            System.exit(ExitStatus.INVALID_INPUT);
        }
        System.exit(run(Path.of(file)));
    }

    /**
     * Runs a gateway until a signal ends the process. Returns only if the gateway cannot start.
     *
     * @param settingsFile JSON file with the settings
     * @return the exit status
     */
    static int run(Path settingsFile) throws InterruptedException {
        // No part passes values through the context of the HTTP library, which costs time for each
        // signal.
        AsyncContext.disable();
        SettingsFileCheck settingsCheck = new SettingsFileCheck(settingsFile);
        Signal.handle(new Signal("HUP"), signal -> settingsCheck.run());
        try {
            GatewaySettings settings = new GatewaySettingsLoader().load(settingsFile);
            Gateway gateway = new Gateway(settings);
            settingsCheck.startFor(gateway, settings);
            startWithDrain(gateway, settings);
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            boolean invalidInput =
                    failure.code() == ErrorCode.SETTINGS_INVALID
                            || failure.code() == ErrorCode.ADDRESS_IN_USE;
            return invalidInput ? ExitStatus.INVALID_INPUT : ExitStatus.FAILURE;
        }
        new CountDownLatch(1).await();
        return ExitStatus.SUCCESS;
    }

    /**
     * Starts a gateway. A signal to stop is followed by a drain from before the first connection is
     * accepted, but not after a start that failed.
     */
    private static void startWithDrain(Gateway gateway, GatewaySettings settings)
            throws TarragonlugException {
        Thread drain = new Thread(() -> drain(gateway, settings), "drain");
        Runtime.getRuntime().addShutdownHook(drain);
        try {
            gateway.start();
        } catch (TarragonlugException | RuntimeException failure) {
            removeShutdownHook(drain);
            throw failure;
        }
    }

    private static void removeShutdownHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException processEnds) {
            // A signal has started the hook, which ends the process.
            return;
        }
    }

    private static void drain(Gateway gateway, GatewaySettings settings) {
        try {
            gateway.drain()
                    .toCompletableFuture()
                    .get(settings.drainTime().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException incomplete) {
            System.err.println(
                    "the drain failed or did not end within "
                            + settings.drainTime().toMillis()
                            + " ms; stopping now");
        }
        Runtime.getRuntime().halt(ExitStatus.SUCCESS);
    }
}
