package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against one broken task that stops all decisions, and state dumps that wait in line. */
class DefaultEventLoopTest {
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final EventLoop loop =
            new DefaultEventLoop(
                    Thread::new,
                    (part, failure) -> {
                        events.add(part + " " + failure.getMessage());
                        throw new IllegalStateException("the listener is broken too");
                    });

    @AfterEach
    void close() {
        loop.close();
    }

    private <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(5, TimeUnit.SECONDS);
    }

    @Test
    void runsLaterTasksWhenTaskAndFailureListenerThrow() throws Exception {
        loop.post(
                () -> {
                    throw new IllegalStateException("exception");
                });
        loop.post(
                () -> {
                    throw new AssertionError("error");
                });
        CompletableFuture<Integer> last = new CompletableFuture<>();
        loop.post(() -> last.complete(loop.queueSize()));
        assertEquals(0, get(last));
        assertEquals(List.of("event-loop exception", "event-loop error"), events);
    }

    @Test
    void runsUrgentTasksFirstAndKeepsOrderWithinEachQueue() throws Exception {
        CountDownLatch queued = new CountDownLatch(1);
        loop.post(
                () -> {
                    try {
                        queued.await();
                    } catch (InterruptedException interrupted) {
                        throw new IllegalStateException(interrupted);
                    }
                });
        CompletableFuture<Void> last = new CompletableFuture<>();
        loop.post(() -> events.add("ordinary 1"));
        loop.post(() -> events.add("ordinary 2"));
        loop.post(() -> last.complete(null));
        loop.postUrgent(() -> events.add("urgent 1"));
        loop.postUrgent(() -> events.add("urgent 2"));
        queued.countDown();
        get(last);
        assertEquals(List.of("urgent 1", "urgent 2", "ordinary 1", "ordinary 2"), events);
    }

    /** An interrupted thread is never parked, so the idle loop used a whole core. */
    @Test
    void clearsInterruptFlagBeforeNextTask() throws Exception {
        CompletableFuture<Boolean> interrupted = new CompletableFuture<>();
        loop.post(() -> Thread.currentThread().interrupt());
        loop.post(() -> interrupted.complete(Thread.currentThread().isInterrupted()));
        assertFalse(get(interrupted));
    }
}
