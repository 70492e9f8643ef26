package org.tarragonlug.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;

/**
 * A simulated backend server with a fixed number of slots. Running requests produce tokens at a
 * constant rate, and further requests wait in a queue.
 */
public final class RequestServer {
    /** Receives the progress of a server's attempts. */
    interface Listener {
        void onStarted(RequestServer server, Job job);

        void onToken(Job job, int offset);

        void onCompleted(Job job);

        void onFailed(Job job, AttemptFailure failure);

        void onCrashed(RequestServer server);
    }

    /** One attempt of a request at the server. */
    static final class Job {
        final AttemptId attempt;
        final SimulatedRequest request;
        final boolean serviceCall;
        final int incarnation;
        int nextOffset;
        boolean silent;
        boolean connected = true;
        boolean stopped;

        Job(
                AttemptId attempt,
                SimulatedRequest request,
                boolean serviceCall,
                int nextOffset,
                int incarnation) {
            this.attempt = attempt;
            this.request = request;
            this.serviceCall = serviceCall;
            this.nextOffset = nextOffset;
            this.incarnation = incarnation;
        }
    }

    private static final double CRASH_DELAY_MILLIS = 20;

    final ServerId id;
    final int slots;
    final Set<ArtifactId> loaded = new HashSet<>();
    final Map<AttemptId, Job> jobs = new LinkedHashMap<>();
    double tokenMillis;
    int queueLimit = Integer.MAX_VALUE;
    int incarnation = 1;
    boolean alive = true;
    boolean partitioned;
    boolean leaving;

    private final VirtualTime time;
    private final Listener listener;
    private final Deque<Job> queue = new ArrayDeque<>();
    private int running;

    RequestServer(ServerId id, int slots, double tokenMillis, VirtualTime time, Listener listener) {
        this.id = id;
        this.slots = slots;
        this.tokenMillis = tokenMillis;
        this.time = time;
        this.listener = listener;
    }

    int running() {
        return running;
    }

    int queued() {
        return queue.size();
    }

    void submit(Job job) {
        if (queue.size() >= queueLimit) {
            listener.onFailed(job, AttemptFailure.REFUSED_OVERLOADED);
            return;
        }
        jobs.put(job.attempt, job);
        queue.add(job);
        startQueued();
    }

    void cancel(AttemptId attempt) {
        Job job = jobs.remove(attempt);
        if (job != null) {
            job.stopped = true;
            if (!queue.remove(job)) {
                running--;
            }
            startQueued();
        }
    }

    /** Ends the process. All queued and running attempts fail. */
    void crash() {
        alive = false;
        incarnation++;
        running = 0;
        queue.clear();
        listener.onCrashed(this);
        for (Job job : jobs.values()) {
            job.stopped = true;
            listener.onFailed(job, AttemptFailure.CONNECTION_LOST);
        }
        jobs.clear();
    }

    private void startQueued() {
        while (running < slots && !queue.isEmpty()) {
            Job job = queue.poll();
            running++;
            listener.onStarted(this, job);
            if (job.request.crashesServer()) {
                time.afterMillis(CRASH_DELAY_MILLIS, () -> crashUnlessStopped(job));
            }
            scheduleStep(job);
        }
    }

    private void crashUnlessStopped(Job job) {
        if (!job.stopped) {
            crash();
        }
    }

    private void scheduleStep(Job job) {
        double millis = job.serviceCall ? tokenMillis * job.request.tokens() : tokenMillis;
        time.afterMillis(millis, () -> runStep(job));
    }

    private void runStep(Job job) {
        if (job.stopped) {
            return;
        }
        if (!job.serviceCall && job.nextOffset < job.request.tokens()) {
            listener.onToken(job, job.nextOffset);
            job.nextOffset++;
        }
        if (job.serviceCall || job.nextOffset >= job.request.tokens()) {
            job.stopped = true;
            jobs.remove(job.attempt);
            running--;
            listener.onCompleted(job);
            startQueued();
        } else {
            scheduleStep(job);
        }
    }
}
