package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
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
    private final ServerNotices notices = new ServerNotices();
    private final AnswerTimes answerTimes = new AnswerTimes();

    /** Adds the listed server, or updates it if it is already known. */
    public void addOrUpdate(ServerListing listing) {
        FleetServer existing = servers.get(listing.id());
        if (existing == null) {
            servers.put(listing.id(), new FleetServer(listing, notices));
        } else {
            existing.update(listing);
        }
    }

    /** Removes a server that is no longer listed; does nothing if it is unknown. */
    public void remove(ServerId id) {
        servers.remove(id);
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
        return notices.record(run, notice, now);
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
        for (FleetServer server : servers.values()) {
            boolean suitable =
                    server.service().equals(service)
                            && server.isReady(now)
                            && (model.isEmpty() || server.holds(model.get(), now));
            if (!suitable) {
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
     * @return whether a waiting request may find a server now; empty if the event is another one
     */
    Optional<Boolean> apply(ForwardingEvent event, Instant now) {
        if (event instanceof ForwardingEvent.ServerListed listed) {
            addOrUpdate(listed.listing());
            return Optional.of(true);
        }
        if (event instanceof ForwardingEvent.ServerUnlisted unlisted) {
            remove(unlisted.server());
            return Optional.of(false);
        }
        if (event instanceof ForwardingEvent.ReplicaAnnounced announced) {
            recordReplica(announced);
            return Optional.of(true);
        }
        if (event instanceof ForwardingEvent.LoadAnnounced announced) {
            recordTotalsInFlight(announced.totals(), now);
            recordSuspected(announced.suspected(), now);
            recordPaces(announced.learntPaces(), announced.statedPaces(), now);
            return Optional.of(false);
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
     * Records the paces that the planner announces, in percent; servers that are left out have the
     * usual pace. A planner that announces none knows no differences yet, so that what this
     * instance has learnt itself stays in force.
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
