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
    record BrokenAttempt(Fingerprint fingerprint, Instant sentAt, Instant brokenAt) {}

    private static final int MAX_PREFIXES = 4_096;
    private static final int MAX_BROKEN_ATTEMPTS = 256;
    private static final Duration BROKEN_RETENTION = Duration.ofSeconds(30);
    private static final double SPEED_WEIGHT = 0.1;

    /** Costs of an answer that do not grow with its tokens, in tokens. */
    private static final double FIXED_COST_TOKENS = 10;

    final ServerId id;
    final InFlightLimit limit;
    final Set<Attempt> attempts = new LinkedHashSet<>();

    /** Requests whose attempts here failed and that wait for a check of this server. */
    final Set<PendingRequest> awaitingCheck = new LinkedHashSet<>();

    /** Targets with waiting requests that found no room here. */
    final Set<Target> waitingTargets = new LinkedHashSet<>();

    Optional<FailureDomain> failureDomain = Optional.empty();
    Optional<String> incarnation = Optional.empty();
    Optional<Set<ArtifactId>> loaded = Optional.empty();
    Optional<ServerGroup> group = Optional.empty();
    boolean reachable = true;

    /** Whether it gets nothing for a moment, after it refused because of overload. */
    boolean paused;

    TimerHeap.Timer pauseTimer;

    /** Whether the edge was asked for a report and has not answered yet. */
    boolean checkPending;

    TimerHeap.Timer checkTimer;
    boolean listedAsLeaving;
    boolean statedAsLeaving;
    Instant reportFetchedAt = Instant.EPOCH;
    int runningSuspects;

    private final Map<Long, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final List<BrokenAttempt> brokenAttempts = new ArrayList<>();
    private final Average millisPerToken = new Average(SPEED_WEIGHT);
    private int consecutiveFailures;
    private int inFlight;
    private int reportedLoad;
    private int sentSinceReport;

    BackendServer(ServerId id, InFlightLimit limit) {
        this.id = id;
        this.limit = limit;
    }

    boolean isLeaving() {
        return listedAsLeaving || statedAsLeaving;
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
    double millisPerToken(double fallback) {
        return millisPerToken.valueOr(fallback);
    }

    /** Returns the failed attempts since the last answer. */
    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void recordFailure() {
        consecutiveFailures++;
    }

    boolean hasMeasuredSpeed() {
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

    void recordAnswer(Duration duration, int tokens) {
        millisPerToken.add(duration.toNanos() / 1e6 / (tokens + FIXED_COST_TOKENS));
        limit.onAnswer(inFlight);
        consecutiveFailures = 0;
    }

    /** Notes an attempt that was given up before its answer was whole. */
    void recordExpiredAttempt(Duration duration, int tokens) {
        millisPerToken.add(duration.toNanos() / 1e6 / (tokens + FIXED_COST_TOKENS));
    }

    void applyReport(int running, int queued, Instant fetchedAt) {
        reportedLoad = running + queued;
        reportFetchedAt = fetchedAt;
        sentSinceReport = 0;
        for (Attempt attempt : attempts) {
            if (attempt.sentAt.isAfter(fetchedAt)) {
                sentSinceReport++;
            }
        }
        limit.onReport(running, queued, fetchedAt);
    }

    boolean hasPrefix(long prefix) {
        return prefix != 0 && cachedPrefixes.containsKey(prefix);
    }

    void addPrefix(long prefix) {
        if (prefix == 0) {
            return;
        }
        cachedPrefixes.put(prefix, Boolean.TRUE);
        if (cachedPrefixes.size() > MAX_PREFIXES) {
            cachedPrefixes.remove(cachedPrefixes.keySet().iterator().next());
        }
    }

    void removePrefix(long prefix) {
        cachedPrefixes.remove(prefix);
    }

    void clearPrefixes() {
        cachedPrefixes.clear();
    }

    void recordBrokenAttempt(Attempt attempt, Instant now) {
        if (brokenAttempts.size() >= MAX_BROKEN_ATTEMPTS) {
            brokenAttempts.remove(0);
        }
        brokenAttempts.add(new BrokenAttempt(attempt.request.fingerprint, attempt.sentAt, now));
    }

    /** Returns the attempts that broke recently, and forgets them. */
    List<BrokenAttempt> takeBrokenAttempts(Instant now) {
        List<BrokenAttempt> recent = new ArrayList<>(brokenAttempts);
        recent.removeIf(attempt -> attempt.brokenAt().plus(BROKEN_RETENTION).isBefore(now));
        brokenAttempts.clear();
        return Collections.unmodifiableList(recent);
    }
}
