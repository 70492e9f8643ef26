package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/** The backend servers known to this instance, by id. */
public final class Fleet {
    private final Map<ServerId, FleetServer> servers = new HashMap<>();
    private final FleetIndex index = new FleetIndex();
    private final ServerNotices notices = new ServerNotices();
    private final AnswerTimes answerTimes = new AnswerTimes();
    private final ServerLimits limits;

    /** Creates an empty fleet of a single instance. */
    public Fleet() {
        this(new ServerLimits("", text -> 0, 1));
    }

    /** Creates an empty fleet whose servers are limited after they have started or recovered. */
    Fleet(ServerLimits limits) {
        this.limits = limits;
    }

    /** Adds a listed server that has been in use for long, or updates it. */
    public void addOrUpdate(ServerListing listing) {
        addOrUpdate(listing, Instant.EPOCH);
    }

    /** Adds the listed server, or updates it if it is already known. */
    void addOrUpdate(ServerListing listing, Instant now) {
        FleetServer server = servers.get(listing.id());
        AdaptiveLimit limit = limits.ofListed(listing, servers.values(), now);
        if (server == null) {
            server = new FleetServer(listing, notices, limits.instances(), limit, now);
            servers.put(listing.id(), server);
        } else {
            server.update(listing, limit, now);
        }
        index.update(server);
    }

    /** Returns the limits of servers that have started or recovered. */
    ServerLimits limits() {
        return limits;
    }

    /**
     * Applies the time that has passed to the limits.
     *
     * @return the limits that have begun or ended since the last call
     */
    List<ForwardingCommand.ReportLimit> advanceLimits(Instant now) {
        return limits.advance(servers.values(), now);
    }

    /** Returns how many servers are limited for each cause; all causes are present. */
    public Map<LimitCause, Integer> countByLimitCause(Instant now) {
        Map<LimitCause, Integer> counts = new EnumMap<>(LimitCause.class);
        for (LimitCause cause : LimitCause.values()) {
            counts.put(cause, 0);
        }
        for (FleetServer server : servers.values()) {
            server.limit()
                    .reportedCause(now)
                    .ifPresent(cause -> counts.merge(cause, 1, Integer::sum));
        }
        return counts;
    }

    /** Removes a server that is no longer listed; does nothing if it is unknown. */
    public void remove(ServerId id) {
        FleetServer removed = servers.remove(id);
        if (removed != null) {
            index.remove(removed);
        }
    }

    /** Returns the server with this id; empty if it is unknown. */
    public Optional<FleetServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Records what a run of a server has said about itself with an answer.
     *
     * @return whether anything about it was not known before
     */
    boolean recordNotice(ServerIncarnation run, ServerNotice notice, Instant now) {
        boolean changed = notices.record(run, notice, now);
        if (changed && notice.pause().isPresent()) {
            limits.of(run)
                    .filter(limit -> notices.pausedUntil(run).isAfter(now))
                    .ifPresent(limit -> limit.begin(LimitCause.PAUSE, notices.pausedUntil(run)));
        }
        return changed;
    }

    /** Returns whether this run of a server is listed, and does not leave. */
    public boolean isListedAsReady(ServerIncarnation run, Instant now) {
        FleetServer server = servers.get(run.server());
        return server != null && server.incarnation().equals(run) && server.isReady(now);
    }

    /** Returns whether a request that was sent to this run of a server may still be written. */
    boolean admitsChosenRequest(ServerIncarnation run, Instant now) {
        FleetServer server = servers.get(run.server());
        return server != null
                && server.incarnation().equals(run)
                && server.availability(now).admitsChosenRequest();
    }

    /**
     * Returns all servers that {@link FleetServer#canRun can run} a request, and possibly others.
     * The list is valid until the next event.
     *
     * @param service the request's service
     * @param model model and adapter that the request needs; empty for a plain service
     */
    List<FleetServer> candidates(ServiceName service, Optional<ModelKey> model) {
        return index.candidates(service, model);
    }

    /** Returns a live view of all known servers, in no particular order. */
    public Collection<FleetServer> servers() {
        return servers.values();
    }

    /**
     * Returns the requests that this instance has in flight, by server; servers without requests
     * are left out.
     */
    public Map<ServerId, Integer> inFlight() {
        Map<ServerId, Integer> counts = new HashMap<>();
        for (FleetServer server : servers.values()) {
            if (server.inFlight() > 0) {
                counts.put(server.id(), server.inFlight());
            }
        }
        return counts;
    }

    /**
     * Returns the servers that will not serve on although they may be listed as ready: connections
     * to them fail at present, or they have said with an answer that they leave.
     */
    public Set<ServerId> unreachable(Instant now) {
        return servers.values().stream()
                .filter(server -> server.isUnreachable(now) || server.hasSaidItLeaves())
                .map(FleetServer::id)
                .collect(Collectors.toSet());
    }

    /**
     * Returns when the first of the servers that could run a request wants requests again; empty if
     * none has asked for a pause, or one of them wants requests now.
     *
     * @param service the service
     * @param model model and adapter that the server must hold; empty for a plain service
     */
    Optional<Instant> pauseEnd(ServiceName service, Optional<ModelKey> model, Instant now) {
        Optional<Instant> earliest = Optional.empty();
        for (FleetServer server : candidates(service, model)) {
            if (!server.isReady(now) || !server.canRun(service, model, now)) {
                continue;
            }
            if (!server.isPaused(now)) {
                return Optional.empty();
            }
            Instant end = server.pausedUntil();
            earliest = earliest.filter(before -> before.isBefore(end)).or(() -> Optional.of(end));
        }
        return earliest;
    }

    /**
     * Applies an event that concerns servers only.
     *
     * @return whether the event is one of these
     */
    boolean apply(ForwardingEvent event, Instant now) {
        if (event instanceof ForwardingEvent.ServerListed listed) {
            server(listed.listing().id()).ifPresent(server -> server.removeExpired(now));
            addOrUpdate(listed.listing(), now);
            return true;
        }
        if (event instanceof ForwardingEvent.ServerUnlisted unlisted) {
            remove(unlisted.server());
            return true;
        }
        if (event instanceof ForwardingEvent.ReplicaAnnounced announced) {
            recordReplica(announced);
            return true;
        }
        if (event instanceof ForwardingEvent.LoadAnnounced announced) {
            recordTotalsInFlight(announced.totals(), now);
            recordSuspected(announced.suspected(), now);
            recordPaces(announced.learntPaces(), announced.statedPaces(), now);
            return true;
        }
        return false;
    }

    /**
     * Returns the server that may run more requests after an event than before; empty if no server
     * may, or if the event does not concern servers only.
     */
    Optional<FleetServer> serverWithMore(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.ServerListed listed) {
            return server(listed.listing().id());
        }
        if (event instanceof ForwardingEvent.ReplicaAnnounced announced && announced.held()) {
            return server(announced.server());
        }
        return Optional.empty();
    }

    /** Records a planner's notice that a replica was loaded or is being unloaded. */
    void recordReplica(ForwardingEvent.ReplicaAnnounced announced) {
        FleetServer server = servers.get(announced.server());
        if (server == null) {
            return;
        }
        if (announced.held()) {
            server.assumeLoaded(announced.key(), announced.until());
            index.addModel(server, announced.key().model());
        } else {
            server.assumeUnloaded(announced.key(), announced.until());
        }
    }

    /**
     * Records how long a server took for an answer or a comparable part of it.
     *
     * @param megabytes size of the model; 0 for a plain service
     * @param millis the time, more than 0
     */
    public void recordAnswerTime(FleetServer server, double megabytes, double millis, Instant now) {
        answerTimes.record(server, megabytes, millis, now);
    }

    /**
     * Returns how long the answers since the last call took, in percent of the usual time, by
     * server; servers without answers are left out.
     */
    public Map<ServerId, Integer> takeAnswerPaces() {
        Map<ServerId, Integer> taken = new HashMap<>();
        for (FleetServer server : servers.values()) {
            int percent = server.pace().takeAnswerPace();
            if (percent > 0) {
                taken.put(server.id(), percent);
            }
        }
        return taken;
    }

    /** Returns the paces stated a moment ago that differ from the usual one, in percent. */
    public Map<ServerId, Integer> statedPaces(Instant now) {
        Map<ServerId, Integer> stated = new HashMap<>();
        for (FleetServer server : servers.values()) {
            int percent = server.pace().newlyStatedPercent(now);
            if (percent != ReportedLoad.USUAL_PACE) {
                stated.put(server.id(), percent);
            }
        }
        return stated;
    }

    /**
     * Records the paces that the planner announces, in percent. If {@code learnt} is not empty,
     * servers that it leaves out have the usual pace; if it is empty, the notice announces none,
     * and earlier ones hold until they expire. Servers that {@code stated} leaves out are
     * unchanged.
     */
    public void recordPaces(
            Map<ServerId, Integer> learnt, Map<ServerId, Integer> stated, Instant now) {
        if (learnt.isEmpty() && stated.isEmpty()) {
            return;
        }
        for (FleetServer server : servers.values()) {
            if (!learnt.isEmpty()) {
                server.pace()
                        .recordAnnouncedLearnt(
                                learnt.getOrDefault(server.id(), ReportedLoad.USUAL_PACE), now);
            }
            Integer percent = stated.get(server.id());
            if (percent != null) {
                server.pace().recordAnnouncedStated(percent, now);
            }
        }
    }

    /** Records the servers that several instances cannot reach. */
    void recordSuspected(Set<ServerId> suspected, Instant now) {
        suspected.forEach(id -> server(id).ifPresent(server -> server.markSuspected(now)));
    }

    /** Records how many requests all instances together have in flight, by server. */
    public void recordTotalsInFlight(Map<ServerId, Integer> totals, Instant now) {
        for (FleetServer server : servers.values()) {
            server.recordTotalInFlight(totals.getOrDefault(server.id(), 0), now);
        }
        limits.recordTotals(totals, servers.values(), now);
    }

    /** Returns how many servers there are of each availability; all values are present. */
    public Map<Availability, Integer> countByAvailability(Instant now) {
        Map<Availability, Integer> counts = new EnumMap<>(Availability.class);
        for (Availability availability : Availability.values()) {
            counts.put(availability, 0);
        }
        servers.values().forEach(server -> counts.merge(server.availability(now), 1, Integer::sum));
        return counts;
    }

    /** Returns how many servers are slow, by what they state or by what was learnt. */
    public long slowCount(Instant now) {
        return servers.values().stream().filter(server -> server.pace().isSlow(now)).count();
    }

    /** Returns how many servers are available for new requests. */
    public long availableCount(Instant now) {
        return servers.values().stream().filter(server -> server.isAvailable(now)).count();
    }
}
