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

/**
 * State of one backend server as this instance sees it, including this instance's requests in
 * flight at the server.
 */
final class BackendServer {
    /**
     * An attempt that broke at this server recently. The record is kept because the loss of the
     * server may be detected only later.
     */
    record BrokenAttempt(Fingerprint fingerprint, Instant sentAt, Instant brokenAt) {}

    private static final int MAX_PREFIXES = 4_096;
    private static final int MAX_BROKEN_ATTEMPTS = 256;
    private static final Duration BROKEN_RETENTION = Duration.ofSeconds(30);
    private static final double SPEED_WEIGHT = 0.1;

    /** Cost of an answer that does not depend on its number of tokens, expressed in tokens. */
    private static final double FIXED_COST_TOKENS = 10;

    final ServerId id;
    final InFlightLimit limit;
    final Set<Attempt> attempts = new LinkedHashSet<>();

    /** Requests whose attempts at this server failed and which wait for the check of the server. */
    final Set<PendingRequest> awaitingCheck = new LinkedHashSet<>();

    /** Targets with waiting requests that found no room at this server. */
    final Set<Target> waitingTargets = new LinkedHashSet<>();

    Optional<FailureDomain> failureDomain = Optional.empty();
    Optional<String> incarnation = Optional.empty();
    Optional<Set<ArtifactId>> loaded = Optional.empty();
    Optional<ServerGroup> group = Optional.empty();
    boolean reachable = true;

    /**
     * Whether new requests are withheld from this server for a short time because the server
     * rejected a request as overloaded.
     */
    boolean paused;

    TimerHeap.Timer pauseTimer;

    /** Whether a report was requested by a check and is still outstanding. */
    boolean checkPending;

    TimerHeap.Timer checkTimer;

    /** Whether the instance list shows the server as leaving or does not contain the server. */
    boolean listedAsLeaving;

    /** Whether the server stated in a report or a rejection that it is about to stop. */
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

    /**
     * Returns the load as last reported plus this instance's requests sent since, because the
     * report lags behind, but at least the number of this instance's requests in flight.
     */
    int load() {
        return Math.max(inFlight, reportedLoad + sentSinceReport);
    }

    /**
     * Returns the average time per token in milliseconds, or the fallback if none was measured yet.
     */
    double millisPerToken(double fallback) {
        return millisPerToken.valueOr(fallback);
    }

    /** Returns the number of failed attempts since the last answer. */
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

    /**
     * Includes in the measured speed an attempt whose request expired before its answer was
     * complete.
     */
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

    /** Returns the attempts that broke within the retention period, and clears the list. */
    List<BrokenAttempt> takeBrokenAttempts(Instant now) {
        List<BrokenAttempt> recent = new ArrayList<>(brokenAttempts);
        recent.removeIf(attempt -> attempt.brokenAt().plus(BROKEN_RETENTION).isBefore(now));
        brokenAttempts.clear();
        return Collections.unmodifiableList(recent);
    }
}
