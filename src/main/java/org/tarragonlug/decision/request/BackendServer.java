package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** What this instance knows about one backend server, and what it has in flight there. */
final class BackendServer {
    /** A request whose attempt broke here recently; the loss of the server may show later. */
    record BrokenAttempt(Fingerprint fingerprint, Instant sentAt, Instant at) {}

    private static final int LARGEST_PREFIX_COUNT = 4_096;
    private static final int LARGEST_BROKEN_COUNT = 256;
    private static final Duration BROKEN_RETENTION = Duration.ofSeconds(30);
    private static final double SPEED_WEIGHT = 0.1;

    /** Costs of an answer that do not grow with its tokens, in tokens. */
    private static final double FIXED_COST_TOKENS = 10;

    final ServerId id;
    final InFlightLimit limit;
    final Set<Attempt> attempts = new LinkedHashSet<>();

    /** Requests whose attempts here failed and that wait for a check of this server. */
    final Set<PendingRequest> verifying = new LinkedHashSet<>();

    /** Targets with waiting requests that found no room here. */
    final Set<Target> blocked = new LinkedHashSet<>();

    Optional<FailureDomain> failureDomain = Optional.empty();
    Optional<String> incarnation = Optional.empty();
    Optional<Set<ArtifactId>> loaded = Optional.empty();
    Optional<ServerGroup> group = Optional.empty();
    boolean reachable = true;

    /** Whether it gets nothing for a moment, after it refused because of overload. */
    boolean paused;

    TimerHeap.Timer pause;

    /** Whether the edge was asked for a report and has not answered yet. */
    boolean checking;

    TimerHeap.Timer checkTimeout;
    boolean leavingByList;
    boolean leavingByServer;
    Instant reportFetchedAt = Instant.EPOCH;
    int suspectsRunning;

    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final List<BrokenAttempt> broken = new ArrayList<>();
    private final Average millisPerToken = new Average(SPEED_WEIGHT);
    private int failures;
    private int inFlight;
    private int reportedLoad;
    private int sentSinceReport;

    BackendServer(ServerId id, InFlightLimit limit) {
        this.id = id;
        this.limit = limit;
    }

    boolean isLeaving() {
        return leavingByList || leavingByServer;
    }

    boolean isUsable() {
        return reachable && !isLeaving();
    }

    boolean hasRoom() {
        return !paused && inFlight < limit.value();
    }

    int inFlight() {
        return inFlight;
    }

    /** Load after the lagging report: what was reported, plus own requests sent since. */
    int load() {
        return Math.max(inFlight, reportedLoad + sentSinceReport);
    }

    /** Relative time this server takes, or the fallback while nothing was measured. */
    double slowness(double fallback) {
        return millisPerToken.valueOr(fallback);
    }

    /** Returns the failed attempts since the last answer. */
    int failures() {
        return failures;
    }

    void failed() {
        failures++;
    }

    boolean hasSlowness() {
        return !millisPerToken.isEmpty();
    }

    void reserve() {
        inFlight++;
        sentSinceReport++;
    }

    void release(Instant reservedAt) {
        inFlight--;
        if (reservedAt.isAfter(reportFetchedAt)) {
            sentSinceReport = Math.max(0, sentSinceReport - 1);
        } else {
            reportedLoad = Math.max(0, reportedLoad - 1);
        }
    }

    void answered(Duration duration, int tokens) {
        millisPerToken.add(duration.toNanos() / 1e6 / (tokens + FIXED_COST_TOKENS));
        limit.succeeded(inFlight);
        failures = 0;
    }

    /** Notes an attempt that was given up before its answer was whole. */
    void tookTooLong(Duration duration, int tokens) {
        millisPerToken.add(duration.toNanos() / 1e6 / (tokens + FIXED_COST_TOKENS));
    }

    void reported(int running, int queued, Instant fetchedAt) {
        reportedLoad = running + queued;
        reportFetchedAt = fetchedAt;
        sentSinceReport = 0;
        for (Attempt attempt : attempts) {
            if (attempt.sentAt.isAfter(fetchedAt)) {
                sentSinceReport++;
            }
        }
        limit.reported(running, queued, fetchedAt);
    }

    boolean hasPrefix(long prefix) {
        return prefix != 0 && prefixes.containsKey(prefix);
    }

    void prefixCached(long prefix) {
        if (prefix == 0) {
            return;
        }
        prefixes.put(prefix, Boolean.TRUE);
        if (prefixes.size() > LARGEST_PREFIX_COUNT) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
    }

    void prefixEvicted(long prefix) {
        prefixes.remove(prefix);
    }

    void forgetPrefixes() {
        prefixes.clear();
    }

    void broke(Attempt attempt, Instant now) {
        if (broken.size() >= LARGEST_BROKEN_COUNT) {
            broken.remove(0);
        }
        broken.add(new BrokenAttempt(attempt.request.fingerprint, attempt.sentAt, now));
    }

    /** Returns the attempts that broke recently, and forgets them. */
    List<BrokenAttempt> takeBroken(Instant now) {
        List<BrokenAttempt> recent = new ArrayList<>(broken);
        recent.removeIf(attempt -> attempt.at().plus(BROKEN_RETENTION).isBefore(now));
        broken.clear();
        return Collections.unmodifiableList(recent);
    }
}
