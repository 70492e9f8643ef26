package org.tarragonlug.runtime;

/**
 * Runs tasks one after another on a single thread. That thread owns all state machines of an entry
 * instance.
 */
public interface EventLoop extends AutoCloseable {
    /**
     * Queues a task.
     *
     * @param task must not block
     */
    void post(Runnable task);

    /**
     * Queues a task ahead of all ordinary tasks. State dumps are queued this way, so that they are
     * answered even while the process is overloaded.
     *
     * @param task must not block
     */
    void postUrgent(Runnable task);

    /** Returns the number of tasks that are queued and have not started, urgent ones included. */
    int queueSize();

    @Override
    void close();
}
