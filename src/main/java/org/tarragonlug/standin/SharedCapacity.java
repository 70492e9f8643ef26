package org.tarragonlug.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * Jobs that share a capacity: up to the given number run at full speed, beyond that all run
 * proportionally slower.
 */
final class SharedCapacity {
    private final StandInClock clock;
    private final double fullSpeedJobs;
    private final List<Job> jobs = new ArrayList<>();
    private double speedFactor = 1;
    private long advancedAtNanos;
    private Future<?> finishTimer = CompletableFuture.completedFuture(null);

    SharedCapacity(StandInClock clock, double fullSpeedJobs) {
        this.clock = clock;
        this.fullSpeedJobs = fullSpeedJobs;
        this.advancedAtNanos = clock.nanos();
    }

    /** Starts a job of so many nominal seconds at full speed; the task runs at its end. */
    synchronized Job start(double seconds, Runnable atEnd) {
        advance();
        Job job = new Job(seconds, atEnd);
        jobs.add(job);
        reschedule();
        return job;
    }

    synchronized void cancel(Job job) {
        advance();
        jobs.remove(job);
        reschedule();
    }

    /** Sets how much slower than usual everything is; 1 is usual. */
    synchronized void setSlowness(double slowness) {
        advance();
        speedFactor = 1 / slowness;
        reschedule();
    }

    synchronized int active() {
        return jobs.size();
    }

    private double speed() {
        return speedFactor * Math.min(1, fullSpeedJobs / Math.max(1, jobs.size()));
    }

    private void advance() {
        long now = clock.nanos();
        double seconds = (now - advancedAtNanos) / 1e9 / clock.scale() * speed();
        advancedAtNanos = now;
        jobs.forEach(job -> job.remainingSeconds -= seconds);
    }

    private void reschedule() {
        finishTimer.cancel(false);
        double shortestSeconds = jobs.stream().mapToDouble(job -> job.remainingSeconds).min().orElse(-1);
        if (!jobs.isEmpty()) {
            double realSeconds = Math.max(0, shortestSeconds) / speed() * clock.scale();
            finishTimer = clock.afterNanos(Math.round(realSeconds * 1e9) + 1, this::finishJobs);
        }
    }

    private void finishJobs() {
        List<Job> ended = new ArrayList<>();
        synchronized (this) {
            advance();
            Iterator<Job> iterator = jobs.iterator();
            while (iterator.hasNext()) {
                Job job = iterator.next();
                if (job.remainingSeconds <= 1e-6) {
                    iterator.remove();
                    ended.add(job);
                }
            }
            reschedule();
        }
        ended.forEach(job -> job.atEnd.run());
    }

    /** One job. */
    static final class Job {
        private final Runnable atEnd;
        private double remainingSeconds;

        Job(double seconds, Runnable atEnd) {
            this.remainingSeconds = seconds;
            this.atEnd = atEnd;
        }
    }
}
