package org.tarragonlug.tool;

import io.servicetalk.transport.api.IoExecutor;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.runtime.Settings;
import org.tarragonlug.runtime.SettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an entry instance until it is told to stop. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Runs an entry instance until SIGTERM, which stops it gracefully.",
            "Logs one line of key=value pairs per event to standard error; the "
                    + "environment variable "
                    + "TARRAGONLUG_LOG_LEVEL sets the level.",
            "Exit status: 0 stopped gracefully, 1 failed, 2 the settings are "
                    + "invalid or an address is "
                    + "in use."
        })
public final class RunCommand implements Callable<Integer> {
    private static final int MAXIMUM_IO_THREADS = 4;

    /** What the last steps of a stop may take beyond the drain time. */
    private static final int STOP_MARGIN_SECONDS = 5;

    @Option(names = "--settings", required = true, description = "JSON file with the settings.")
    private Path settingsFile;

    @Override
    public Integer call() throws InterruptedException {
        Settings settings;
        try {
            settings = new SettingsLoader().load(settingsFile);
        } catch (TarragonlugException invalid) {
            System.err.println(invalid.getMessage());
            return ExitStatus.INVALID_INPUT;
        }
        int threads = Math.min(MAXIMUM_IO_THREADS, Runtime.getRuntime().availableProcessors());
        IoExecutor ioExecutor = IoThreads.create(threads);
        IoExecutor adminExecutor = IoThreads.create(1);
        CompletableFuture<Integer> exitStatus = new CompletableFuture<>();
        EntryInstance instance =
                new EntryInstance(
                        settings,
                        ioExecutor,
                        adminExecutor,
                        new SecureRandom().nextLong(),
                        (part, failure) -> exitStatus.complete(ExitStatus.FAILURE));
        try {
            instance.start();
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            instance.stop();
            return failure.code() == ErrorCode.ADDRESS_IN_USE
                    ? ExitStatus.INVALID_INPUT
                    : ExitStatus.FAILURE;
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> drain(instance, settings, exitStatus), "drain"));
        return await(exitStatus);
    }

    private static int await(CompletableFuture<Integer> exitStatus) throws InterruptedException {
        try {
            return exitStatus.get();
        } catch (ExecutionException impossible) {
            return ExitStatus.FAILURE;
        }
    }

    private static void drain(
            EntryInstance instance, Settings settings, CompletableFuture<Integer> exitStatus) {
        long limit = settings.limits().drainTime().toSeconds() + STOP_MARGIN_SECONDS;
        try {
            instance.drain().toCompletableFuture().get(limit, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException late) {
            System.err.println("the drain did not end within " + limit + " s");
        }
        instance.stop();
        Runtime.getRuntime().halt(exitStatusAfterStop(exitStatus));
    }

    /**
     * A signal would otherwise set the exit status to 143, which reads as a failure; an instance
     * that ended by itself keeps its status.
     */
    static int exitStatusAfterStop(CompletableFuture<Integer> exitStatus) {
        return exitStatus.getNow(ExitStatus.SUCCESS);
    }
}
