package org.tarragonlug.runtime;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * An event loop with two lock-free queues: one for urgent tasks, which run first, and one for all
 * others.
 *
 * <p>The queues have no size limit of their own, because the admission limits of the caller server
 * and the number of attempts in flight already bound the number of queued tasks. If a task throws,
 * the loop reports the exception and continues with the next task, because one faulty event must
 * not stop the decisions on all others.
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
     * Starts the loop's thread.
     *
     * @param threadFactory creates the thread that runs all tasks
     * @param failureListener notified when a task throws; exceptions of the listener are only
     *     printed
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
        // Checks the size again, because a task may have been added after the poll and before the
        // flag was set.
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
            // Clears the interrupt flag: an interrupted thread is never parked, so that an idle
            // loop would spin.
            Thread.interrupted();
        }
    }

    private void reportFailure(Throwable failure) {
        try {
            failureListener.onPartFailed("event-loop", failure);
        } catch (RuntimeException | Error listenerFailure) {
            // A failing listener must not end the loop, and no other listener can be notified.
            listenerFailure.printStackTrace();
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
