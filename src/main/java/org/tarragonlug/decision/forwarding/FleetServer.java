package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/**
 * The state of one backend server as this instance sees it: the server's listing, the requests that
 * this instance has in flight there, the load that the server reported, and its recent failures.
 */
public final class FleetServer {
    /** Time within which a reported load loses half of its weight. */
    private static final Duration LOAD_HALF_LIFE = Duration.ofMillis(800);

    /** Time within which a new total changes the estimate by half of the difference. */
    private static final Duration TOTAL_HALF_LIFE = Duration.ofMillis(540);

    /**
     * Time within which the failure rate halves. The decay lets a server that failed receive
     * requests again.
     */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(3);

    private static final double FAILURE_WEIGHT = 0.25;

    /**
     * Failure rate above which a request without progress limits the server. Three failures of any
     * kind shortly after one another exceed it; one or two do not, because a single request without
     * progress may be an unusually long prompt.
     */
    private static final double SLOW_FAILURE_RATE = 0.5;

    /** How long a server stays suspected after the last announcement of it. */
    private static final Duration SUSPICION_VALIDITY = Duration.ofMillis(1000);

    /** How long a model counts as absent after the server rejected a request for it. */
    private static final Duration ABSENCE_VALIDITY = Duration.ofMillis(1500);

    private final ServerNotices notices;
    private final InstanceCount instances;
    private AdaptiveLimit limit;
    private Instant knownSince;
    private final ServerPace pace = new ServerPace();
    private ServerListing listing;
    private ServerIncarnation incarnation;
    private int inFlight;
    private boolean reservesSlots = true;
    private double otherInstancesLoad;
    private Instant loadReportedAt = Instant.EPOCH;
    private Instant totalReportedAt = Instant.EPOCH;
    private double failureRate;
    private Instant failureUpdatedAt = Instant.EPOCH;
    private Instant suspectedUntil = Instant.EPOCH;
    private final Map<ModelKey, Instant> absentUntil = new HashMap<>();
    private final Map<ModelKey, Instant> announcedUntil = new HashMap<>();

    /**
     * Creates the state of a server that is not known yet.
     *
     * @param listing its listing
     * @param notices what servers have said about themselves
     * @param instances number of instances that share the limit
     * @param limit limit of the requests at this run of the server
     * @param now time at which the run became known
     */
    FleetServer(
            ServerListing listing,
            ServerNotices notices,
            InstanceCount instances,
            AdaptiveLimit limit,
            Instant now) {
        this.notices = notices;
        this.instances = instances;
        this.limit = limit;
        this.knownSince = now;
        replaceListing(listing);
    }

    private void replaceListing(ServerListing newer) {
        listing = newer;
        incarnation = new ServerIncarnation(newer.id(), newer.startedMillis());
    }

    /** Returns the newest listing received for this server. */
    public ServerListing listing() {
        return listing;
    }

    /** Returns the id under which the platform lists this server. */
    public ServerId id() {
        return listing.id();
    }

    /** Identifies the run of the server's process that the newest listing describes. */
    public ServerIncarnation incarnation() {
        return incarnation;
    }

    /** Returns the service that this server belongs to. */
    public ServiceName service() {
        return listing.service();
    }

    /** Returns the failure domain in which this server runs. */
    public FailureDomain failureDomain() {
        return listing.failureDomain();
    }

    /** Applies a newer listing; the limit is that of the run which it describes. */
    void update(ServerListing newer, AdaptiveLimit limitOfRun, Instant now) {
        if (newer.startedMillis() != listing.startedMillis()) {
            limit = limitOfRun;
            knownSince = now;
            pace.reset();
            inFlight = 0;
            otherInstancesLoad = 0;
            failureRate = 0;
            reservesSlots = true;
            absentUntil.clear();
            announcedUntil.clear();
        }
        replaceListing(newer);
    }

    /**
     * Tells whether this instance sends new requests to this server, and why it does not. The order
     * of the reasons is that of their weight: a server that leaves never gets requests again, while
     * a failed connection is tried again soon.
     */
    public Availability availability(Instant now) {
        if (listing.state() != ListedState.READY) {
            return Availability.LISTED_AS_LEAVING;
        }
        if (hasSaidItLeaves()) {
            return Availability.SAID_IT_LEAVES;
        }
        if (isPaused(now)) {
            return Availability.PAUSED;
        }
        if (isUnreachable(now)) {
            return Availability.UNREACHABLE;
        }
        boolean hasRoom = limit.hasRoom(inFlight, instances.current(), now);
        return hasRoom ? Availability.AVAILABLE : Availability.RETURNING;
    }

    /** Tells whether this instance sends new requests to this server. */
    public boolean isAvailable(Instant now) {
        return availability(now) == Availability.AVAILABLE;
    }

    /**
     * Tells whether this instance may send a request to this server that no other server can run.
     * Such a request exceeds a limit, but not the one just after a pause.
     */
    boolean isAvailableBeyondLimit(Instant now) {
        Availability present = availability(now);
        return present == Availability.AVAILABLE
                || present == Availability.RETURNING && limit.yields(now);
    }

    /**
     * Tells whether this instance may send a request to this server that would be refused otherwise
     * because of a limit.
     */
    boolean isLastResort(Instant now) {
        Availability present = availability(now);
        return present == Availability.AVAILABLE || present == Availability.RETURNING;
    }

    /** Tells whether this server has been in use for a while and is not limited. */
    boolean isEstablished(Duration age, Instant now) {
        return isAvailable(now) && limit.isUnused() && !now.isBefore(knownSince.plus(age));
    }

    /** Returns why the requests in flight at this server are limited; empty if they are not. */
    public Optional<LimitCause> limitCause(Instant now) {
        return limit.reportedCause(now);
    }

    /** Returns the limit of the requests in flight over all instances, while there is one. */
    public double limitTotal(Instant now) {
        return limit.limit(now);
    }

    /** Returns the limit of the requests in flight at the present run of this server. */
    AdaptiveLimit limit() {
        return limit;
    }

    /** Applies the time that has passed to the limit of the requests in flight. */
    void advanceLimit(double usualTotal, Instant now) {
        limit.advance(inFlight, instances.current(), usualTotal, now);
    }

    /** Tells whether a model is known to be on this server. */
    boolean holdsModels() {
        return !listing.models().isEmpty() || !announcedUntil.isEmpty();
    }

    /** Tells whether this server is listed as ready and has not said that it leaves. */
    boolean isReady(Instant now) {
        return availability(now).staysInService();
    }

    /** Tells whether this server has said with an answer that it leaves. */
    boolean hasSaidItLeaves() {
        return notices.isLeaving(incarnation);
    }

    /** Tells whether this server has asked for a pause that is not over. */
    boolean isPaused(Instant now) {
        return now.isBefore(pausedUntil());
    }

    /** Returns the end of the last pause that this server asked for; in the past if none. */
    Instant pausedUntil() {
        return notices.pausedUntil(incarnation);
    }

    /**
     * Tells whether this server is assumed to hold a model and, if the key names one, its adapter.
     */
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

    /**
     * Tells whether this server is assumed to be able to run a request, if it is available.
     *
     * @param service the request's service
     * @param model model and adapter that the request needs; empty for a plain service
     */
    boolean canRun(ServiceName service, Optional<ModelKey> model, Instant now) {
        return service().equals(service) && (model.isEmpty() || holds(model.get(), now));
    }

    /** Returns the names of all models for which {@link #holds} may be true. */
    Set<String> possibleModels() {
        if (announcedUntil.isEmpty()) {
            return listing.models().keySet();
        }
        Set<String> models = heldModels();
        announcedUntil.keySet().forEach(key -> models.add(key.model()));
        return models;
    }

    /** Removes what was announced about models for a time that is over. */
    void removeExpired(Instant now) {
        announcedUntil.values().removeIf(until -> !now.isBefore(until));
        absentUntil.values().removeIf(until -> !now.isBefore(until));
    }

    private boolean isAbsent(ModelKey key, Instant now) {
        Instant until = absentUntil.get(key);
        return until != null && now.isBefore(until);
    }

    /** Records that the server rejected a request because it does not hold the model. */
    void markModelAbsent(ModelKey key, Instant now) {
        absentUntil.put(key, now.plus(ABSENCE_VALIDITY));
        announcedUntil.remove(key);
    }

    /** Records a planner's notice that the server holds a model which no listing shows yet. */
    void assumeLoaded(ModelKey key, Instant until) {
        announcedUntil.put(key, until);
        absentUntil.remove(key);
    }

    /** Records a planner's notice that the server unloads a model or adapter. */
    void assumeUnloaded(ModelKey key, Instant until) {
        absentUntil.put(key, until);
        announcedUntil.keySet().removeIf(each -> each.equals(key) || covers(key, each));
    }

    private static boolean covers(ModelKey model, ModelKey key) {
        return !model.hasAdapter() && model.model().equals(key.model());
    }

    /** Returns the number of requests that this instance has in flight on the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Counts a request that this instance sends to the server. */
    public void onRequestSent() {
        inFlight++;
    }

    /** Returns whether the server may reserve slots; true until it says that it can not. */
    boolean reservesSlots() {
        return reservesSlots;
    }

    /** Records whether the server knows calls that reserve slots. */
    void setReservesSlots(boolean known) {
        reservesSlots = known;
    }

    /** Counts the end of a request that this instance sent to the server. */
    public void onRequestEnded() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /** Returns how long work takes on the server. */
    public ServerPace pace() {
        return pace;
    }

    /** Records the load that the server stated with an answer. */
    public void recordReportedLoad(ReportedLoad load, Instant now) {
        otherInstancesLoad = Math.max(0, load.total() - inFlight);
        limit.recordOthers(otherInstancesLoad, now);
        loadReportedAt = now;
    }

    /**
     * Records the number of requests that all instances together have in flight on the server. All
     * instances receive nearly the same totals; if each of them followed every change, they would
     * move from server to server together. A new total therefore changes the estimate only in part.
     */
    void recordTotalInFlight(int total, Instant now) {
        limit.recordOthers(Math.max(0, total - inFlight), now);
        double before = otherInstancesLoad(now);
        double weight = 1 - decay(totalReportedAt, now, TOTAL_HALF_LIFE);
        otherInstancesLoad = before + weight * (Math.max(0, total - inFlight) - before);
        loadReportedAt = now;
        totalReportedAt = now;
    }

    private double otherInstancesLoad(Instant now) {
        return otherInstancesLoad * decay(loadReportedAt, now, LOAD_HALF_LIFE);
    }

    /**
     * Estimates the number of requests at the server. This instance's own requests are counted
     * exactly; those of other instances come from the last reported load, with decay.
     */
    public double load(Instant now) {
        return inFlight + otherInstancesLoad(now);
    }

    void recordOutcome(boolean failed, Instant now) {
        double rate = failureRate(now);
        failureRate = rate + FAILURE_WEIGHT * ((failed ? 1 : 0) - rate);
        failureUpdatedAt = now;
    }

    /** Returns the decayed share of recent requests that failed at the server, from 0 to 1. */
    public double failureRate(Instant now) {
        return failureRate * decay(failureUpdatedAt, now, FAILURE_HALF_LIFE);
    }

    /** Records that a request made no progress at the server for too long. */
    void recordStall(Instant now) {
        recordOutcome(true, now);
        // A server with more requests than slots makes requests wait although it is not slow.
        boolean slow = failureRate(now) > SLOW_FAILURE_RATE && load(now) <= listing.slots();
        if (limit.isUnused() && slow) {
            limit.beginSlow(load(now), now);
        } else {
            limit.recordFailure(now);
        }
    }

    /** Records that a connection to the server failed, or that another server answered. */
    void markUnreachable(Instant now) {
        limit.block(now);
    }

    /** Records that the server itself has answered. */
    void markReached(Instant now) {
        suspectedUntil = Instant.EPOCH;
        limit.unblock(now);
    }

    /** Records that several other instances cannot reach the server. */
    void markSuspected(Instant now) {
        suspectedUntil = now.plus(SUSPICION_VALIDITY);
    }

    /** Tells whether other instances could not reach the server a moment ago. */
    boolean isSuspected(Instant now) {
        return now.isBefore(suspectedUntil);
    }

    /** Tells whether the last connections to the server failed. */
    boolean isUnreachable(Instant now) {
        return limit.isBlocked(now);
    }

    /** Returns the names of the models in the newest listing. */
    Set<String> heldModels() {
        return new HashSet<>(listing.models().keySet());
    }

    private static double decay(Instant since, Instant now, Duration halfLife) {
        double elapsed = Duration.between(since, now).toMillis();
        return Math.pow(0.5, elapsed / halfLife.toMillis());
    }
}
