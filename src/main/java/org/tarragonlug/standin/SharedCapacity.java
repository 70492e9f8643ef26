package org.tarragonlug.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * Simulates jobs that share a capacity. Up to a given number of jobs run at full speed; with more
 * jobs, all of them run proportionally slower.
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

    /**
     * Starts a job.
     *
     * @param seconds nominal duration of the job at full speed, in seconds
     * @param atEnd task to run when the job ends; not run if the job is cancelled
     */
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

    /** Sets the factor by which all jobs run slower than usual; 1 restores the usual speed. */
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
        double shortestSeconds =
                jobs.stream().mapToDouble(job -> job.remainingSeconds).min().orElse(-1);
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

    static final class Job {
        private final Runnable atEnd;
        private double remainingSeconds;

        Job(double seconds, Runnable atEnd) {
            this.remainingSeconds = seconds;
            this.atEnd = atEnd;
        }
    }
}
