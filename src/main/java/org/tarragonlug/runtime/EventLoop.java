package org.tarragonlug.runtime;

/**
 * Runs tasks one after another on one thread, which owns all state machines of an entry instance.
 */
public interface EventLoop extends AutoCloseable {
    /**
     * Queues a task.
     *
     * @param task must not block
     */
    void post(Runnable task);

    /**
     * Queues a task ahead of all ordinary ones. State dumps use it, so that they are answered while
     * the process is overloaded.
     *
     * @param task must not block
     */
    void postUrgent(Runnable task);

    /** Returns the number of queued tasks. */
    int queueSize();

    @Override
    void close();
}
