package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;

/** Threads of callers, each of which repeats its step until it is told to stop. */
final class CallerThreads {
    /** What a thread does again and again. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    void start(Step step) {
        Thread thread = new Thread(() -> repeat(step), "soak-caller");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void repeat(Step step) {
        try {
            while (!stopped) {
                step.run();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the threads after the steps that they are at. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
