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

/** What all loopback tests need: I/O threads, a timer and connections with short limits. */
public final class Loopback implements AutoCloseable {
    /** Time limit of calls; long against loopback times, short for tests of silence. */
    public static final Duration TIMEOUT = Duration.ofMillis(400);

    private static final long WAIT_SECONDS = 8;

    public final IoExecutor ioExecutor = IoThreads.create(2);
    public final StandInClock clock = new StandInClock(0.1);
    public final HttpConnections connections =
            new HttpConnections(
                    ioExecutor,
                    clock.executor(),
                    new HttpLimits(TIMEOUT, TIMEOUT, 64 * 1024, Duration.ofMillis(50)));

    /** Waits for a result. */
    public static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for a failure and returns its cause. */
    public static Throwable failure(CompletionStage<?> stage) {
        return assertThrows(ExecutionException.class, () -> await(stage)).getCause();
    }

    /** Waits for a typed failure and returns its code. */
    public static ErrorCode code(CompletionStage<?> stage) {
        return assertInstanceOf(TarragonlugException.class, failure(stage)).code();
    }

    /** Waits until something holds. */
    public static void eventually(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean() && System.nanoTime() < until) {
            Thread.sleep(2);
        }
        assertTrue(condition.getAsBoolean());
    }

    @Override
    public void close() throws Exception {
        connections.close();
        clock.close();
        ioExecutor.closeAsync().toFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
