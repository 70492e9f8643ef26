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
 * What all loopback tests need: I/O threads, a timer and connections. Only calls that are to end at
 * their time limit use the short one, so that a pause of a busy machine fails no other call.
 */
public final class LoopbackFixture implements AutoCloseable {
    /** Time limit of calls to silent servers. */
    public static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

    /** Time limit of calls that are to be answered. */
    public static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    private static final long WAIT_SECONDS = 8;

    /** Shared by all tests, as by all parts of a process. */
    private static final IoExecutor IO_EXECUTOR = IoThreads.create(2);

    public final IoExecutor ioExecutor = IO_EXECUTOR;
    public final StandInClock clock = new StandInClock(0.1);
    public final HttpConnections connections = withResponseTimeout(LONG_TIMEOUT);
    public final HttpConnections shortTimeoutConnections = withResponseTimeout(SHORT_TIMEOUT);

    private HttpConnections withResponseTimeout(Duration responseTimeout) {
        HttpLimits limits = new HttpLimits(LONG_TIMEOUT, responseTimeout, 64 * 1024, Duration.ofMillis(50));
        return new HttpConnections(ioExecutor, clock.executor(), limits);
    }

    /** Waits for a result. */
    public static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for a failure and returns its cause. */
    public static Throwable awaitFailure(CompletionStage<?> stage) {
        return assertThrows(ExecutionException.class, () -> await(stage)).getCause();
    }

    /** Waits for a typed failure and returns its code. */
    public static ErrorCode awaitErrorCode(CompletionStage<?> stage) {
        return assertInstanceOf(TarragonlugException.class, awaitFailure(stage)).code();
    }

    /** Waits until something holds. */
    public static void eventually(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.sleep(2);
        }
        assertTrue(condition.getAsBoolean());
    }

    @Override
    public void close() {
        connections.close();
        shortTimeoutConnections.close();
        clock.close();
    }
}
