package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.standin.StandInClock;

/**
 * I/O threads, a timer and HTTP connections for tests on the loopback interface. Only calls that
 * are expected to time out use the short timeout, so that a pause of a busy machine does not fail
 * other calls.
 */
public final class LoopbackFixture implements AutoCloseable {
    /** Timeout of calls to silent servers, which are expected to time out. */
    public static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

    /** Timeout of calls that are expected to be answered. */
    public static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    /** Bytes of incomplete answers that all calls may keep, less than 32 calls of 64 KiB each. */
    static final long MAXIMUM_HELD_BYTES = 512 * 1024;

    private static final long WAIT_SECONDS = 8;

    /** One executor for all tests, as all parts of a process share one. */
    private static final IoExecutor IO_EXECUTOR = IoThreads.create(2);

    public final IoExecutor ioExecutor = IO_EXECUTOR;
    public final StandInClock clock = new StandInClock(0.1);
    public final HttpConnections connections = withResponseTimeout(LONG_TIMEOUT);
    public final HttpConnections shortTimeoutConnections = withResponseTimeout(SHORT_TIMEOUT);

    private HttpConnections withResponseTimeout(Duration responseTimeout) {
        HttpLimits limits =
                new HttpLimits(
                        LONG_TIMEOUT,
                        responseTimeout,
                        64 * 1024,
                        MAXIMUM_HELD_BYTES,
                        Duration.ofMillis(50));
        return new HttpConnections(ioExecutor, clock.executor(), limits);
    }

    /** Waits for the result of a stage, at most {@link #WAIT_SECONDS}. */
    public static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for the failure of a stage and returns its cause. */
    public static Throwable awaitFailure(CompletionStage<?> stage) {
        return assertThrows(ExecutionException.class, () -> await(stage)).getCause();
    }

    /** Waits for the failure of a stage with a typed error and returns the error code. */
    public static ErrorCode awaitErrorCode(CompletionStage<?> stage) {
        return assertInstanceOf(TarragonlugException.class, awaitFailure(stage)).code();
    }

    /** Waits until a condition holds; fails if it does not hold within {@link #WAIT_SECONDS}. */
    public static void eventually(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        boolean holds = condition.getAsBoolean();
        while (!holds && System.nanoTime() < deadline) {
            Thread.sleep(2);
            holds = condition.getAsBoolean();
        }
        // The condition is not checked again, because the awaited state may already have ended.
        assertTrue(holds);
    }

    @Override
    public void close() {
        connections.close();
        shortTimeoutConnections.close();
        clock.close();
    }
}
