package org.tarragonlug.runtime;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * An event loop over two lock-free queues, the urgent one first.
 *
 * <p>The queues need no bound of their own: what enters them is bounded by the admission limits of
 * the callers' edge and by the number of attempts in flight. A task that throws is reported and the
 * loop goes on, since one broken event must not stop the decisions on all others.
 */
public final class DefaultEventLoop implements EventLoop {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgentTasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queueSize = new AtomicInteger();
    private final FailureListener failureListener;
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean closed;

    /**
     * Starts the loop.
     *
     * @param threadFactory makes its thread
     * @param failureListener told when a task throws
     */
    public DefaultEventLoop(ThreadFactory threadFactory, FailureListener failureListener) {
        this.failureListener = failureListener;
        this.thread = threadFactory.newThread(this::run);
        this.thread.start();
    }

    @Override
    public void post(Runnable task) {
        enqueue(tasks, task);
    }

    @Override
    public void postUrgent(Runnable task) {
        enqueue(urgentTasks, task);
    }

    private void enqueue(ConcurrentLinkedQueue<Runnable> queue, Runnable task) {
        queueSize.incrementAndGet();
        queue.add(task);
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (!closed) {
            Runnable task = pollTask();
            if (task == null) {
                waitForTask();
                continue;
            }
            queueSize.decrementAndGet();
            runTask(task);
        }
    }

    private Runnable pollTask() {
        Runnable urgent = urgentTasks.poll();
        return urgent != null ? urgent : tasks.poll();
    }

    private void waitForTask() {
        parked = true;
        // A task may have been added between the poll and the flag.
        if (queueSize.get() == 0 && !closed) {
            LockSupport.park(this);
        }
        parked = false;
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            reportFailure(failure);
        } finally {
            // A thread left interrupted would not wait for tasks any more but spin.
            Thread.interrupted();
        }
    }

    private void reportFailure(Throwable failure) {
        try {
            failureListener.onPartFailed("event-loop", failure);
        } catch (RuntimeException | Error broken) {
            // A listener that fails must not end the loop; there is nobody else to tell.
            broken.printStackTrace();
        }
    }

    @Override
    public int queueSize() {
        return queueSize.get();
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
