package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * What one instance believes of one backend server: its listing, the own requests on it, the load
 * that it stated, and how it has been behaving towards this instance.
 */
public final class FleetServer {
    /** Statements on load lose half of their weight within this time. */
    private static final Duration LOAD_HALF_LIFE = Duration.ofMillis(800);

    /** Failures lose half of their weight within this time, so that a server is tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(3);

    private static final double FAILURE_WEIGHT = 0.25;

    /** How long a server is passed over after a connection to it failed. */
    private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(700);

    /** How long a stated absence of a model is believed without a newer listing. */
    private static final Duration ABSENCE_VALIDITY = Duration.ofMillis(1500);

    private ServerListing listing;
    private int inFlight;
    private double otherInstancesLoad;
    private Instant loadReportedAt = Instant.EPOCH;
    private double failureRate;
    private Instant failureUpdatedAt = Instant.EPOCH;
    private Instant unreachableUntil = Instant.EPOCH;
    private final Map<ModelKey, Instant> absentUntil = new HashMap<>();
    private final Map<ModelKey, Instant> announcedUntil = new HashMap<>();

    FleetServer(ServerListing listing) {
        this.listing = listing;
    }

    /** Returns the newest listing. */
    public ServerListing listing() {
        return listing;
    }

    /** Returns the server's id. */
    public ServerId id() {
        return listing.id();
    }

    /** Returns the service it belongs to. */
    public ServiceName service() {
        return listing.service();
    }

    /** Returns where it runs. */
    public FailureDomain failureDomain() {
        return listing.failureDomain();
    }

    void update(ServerListing newer) {
        if (newer.startedMillis() != listing.startedMillis()) {
            inFlight = 0;
            otherInstancesLoad = 0;
            failureRate = 0;
            unreachableUntil = Instant.EPOCH;
            absentUntil.clear();
            announcedUntil.clear();
        }
        listing = newer;
    }

    /** Tells whether it takes new work. */
    public boolean isAvailable(Instant now) {
        return listing.state() == ListedState.READY && !now.isBefore(unreachableUntil);
    }

    /** Tells whether it holds a model and adapter, as far as is known. */
    public boolean holds(ModelKey key, Instant now) {
        if (isAbsent(key, now) || isAbsent(new ModelKey(key.model(), ""), now)) {
            return false;
        }
        Instant until = announcedUntil.get(key);
        if (until != null && now.isBefore(until)) {
            return true;
        }
        Set<String> adapters = listing.models().get(key.model());
        return adapters != null && (!key.hasAdapter() || adapters.contains(key.adapter()));
    }

    private boolean isAbsent(ModelKey key, Instant now) {
        Instant until = absentUntil.get(key);
        return until != null && now.isBefore(until);
    }

    /** The server said that it does not hold a model. */
    void markModelAbsent(ModelKey key, Instant now) {
        absentUntil.put(key, now.plus(ABSENCE_VALIDITY));
        announcedUntil.remove(key);
    }

    /** The decider says that the server holds a model, before the listing shows it. */
    void assumeLoaded(ModelKey key, Instant until) {
        announcedUntil.put(key, until);
        absentUntil.remove(key);
    }

    /** The decider says that the server drops a model or adapter. */
    void assumeUnloaded(ModelKey key, Instant until) {
        absentUntil.put(key, until);
        announcedUntil.keySet().removeIf(each -> each.equals(key) || covers(key, each));
    }

    private static boolean covers(ModelKey model, ModelKey key) {
        return !model.hasAdapter() && model.model().equals(key.model());
    }

    /** Own requests on the server. */
    public int inFlight() {
        return inFlight;
    }

    void onRequestSent() {
        inFlight++;
    }

    void onRequestEnded() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void recordReportedLoad(ReportedLoad load, Instant now) {
        otherInstancesLoad = Math.max(0, load.total() - inFlight);
        loadReportedAt = now;
    }

    /** Estimates all requests at the server: own ones exactly, those of others with decay. */
    public double load(Instant now) {
        return inFlight + otherInstancesLoad * decay(loadReportedAt, now, LOAD_HALF_LIFE);
    }

    void recordOutcome(boolean failed, Instant now) {
        double rate = failureRate(now);
        failureRate = rate + FAILURE_WEIGHT * ((failed ? 1 : 0) - rate);
        failureUpdatedAt = now;
    }

    /** Estimates the share of recent requests that the server failed. */
    public double failureRate(Instant now) {
        return failureRate * decay(failureUpdatedAt, now, FAILURE_HALF_LIFE);
    }

    void markUnreachable(Instant now) {
        unreachableUntil = now.plus(UNREACHABLE_PAUSE);
    }

    /** Returns the models that the listing shows. */
    Set<String> heldModels() {
        return new HashSet<>(listing.models().keySet());
    }

    private static double decay(Instant since, Instant now, Duration halfLife) {
        double elapsed = Duration.between(since, now).toMillis();
        return Math.pow(0.5, elapsed / halfLife.toMillis());
    }
}
