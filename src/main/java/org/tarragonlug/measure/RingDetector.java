package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.FailureDetector;
import org.tarragonlug.decision.membership.Member;
import org.tarragonlug.decision.membership.MemberState;
import org.tarragonlug.decision.membership.MemberUpdate;
import org.tarragonlug.decision.membership.MemberView;
import org.tarragonlug.decision.membership.MembershipCommand;
import org.tarragonlug.decision.membership.MembershipEvent;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Baseline detector modelled on the ring of Zhou et al., "Scalable Group Management in Large-Scale
 * Virtualized Clusters", 2010, as described in docs/design.md.
 *
 * <p>Each member sends heartbeats to its predecessor in the ring. When heartbeats are missing, the
 * predecessor reports the sender as dead to the leader, the live member with the lowest id. The
 * leader installs the changed view at all members in a single round. A member that is not in the
 * view asks the leader to join.
 */
final class RingDetector implements FailureDetector {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);

    private final Candidate self;
    private final ProcessId process;
    private final Map<InstanceId, Candidate> candidates = new TreeMap<>();
    private final Map<InstanceId, MemberUpdate> updates = new TreeMap<>();
    private List<InstanceId> live = new ArrayList<>();
    private long incarnation;
    private Instant nextHeartbeat = Instant.EPOCH;
    private boolean hasView;
    private int joinAttempts;
    private Instant nextJoin = Instant.EPOCH;
    private InstanceId monitored;
    private Instant lastHeartbeat = Instant.EPOCH;

    RingDetector(Candidate self, ProcessId process, long incarnation) {
        this.self = self;
        this.process = process;
        this.incarnation = incarnation;
    }

    @Override
    public MemberView view() {
        List<Member> members = new ArrayList<>();
        for (InstanceId id : live()) {
            Candidate candidate = candidates.getOrDefault(id, self);
            members.add(
                    new Member(
                            id,
                            process,
                            candidate.address(),
                            candidate.failureDomain(),
                            0,
                            MemberState.ALIVE));
        }
        return new MemberView(self.instance(), members);
    }

    /** Returns the live members in ring order, including this instance. */
    private List<InstanceId> live() {
        if (live.isEmpty()) {
            for (MemberUpdate update : updates.values()) {
                if (update.state().isLive()) {
                    live.add(update.instance());
                }
            }
        }
        return live;
    }

    private void storeUpdate(MemberUpdate update) {
        updates.put(update.instance(), update);
        live = new ArrayList<>();
    }

    @Override
    public List<MembershipCommand> handle(MembershipEvent event, Instant now) {
        List<MembershipCommand> commands = new ArrayList<>();
        if (event instanceof MembershipEvent.CandidatesListed listed) {
            for (Candidate candidate : listed.candidates()) {
                candidates.put(candidate.instance(), candidate);
                if (!updates.containsKey(candidate.instance())) {
                    storeUpdate(newUpdate(candidate.instance(), 0, MemberState.ALIVE));
                }
            }
            storeUpdate(ownUpdate());
        } else if (event instanceof MembershipEvent.MessageReceived received) {
            receive(received, now, commands);
        } else if (event instanceof MembershipEvent.Tick) {
            tick(now, commands);
        }
        return commands;
    }

    private void receive(
            MembershipEvent.MessageReceived received,
            Instant now,
            List<MembershipCommand> commands) {
        if (received.from().equals(monitored)) {
            lastHeartbeat = now;
        }
        hasView |= received.message().updates().size() > 1;
        boolean isReport = received.message() instanceof MembershipMessage.IndirectProbe;
        apply(received.message().updates(), isReport, commands);
    }

    /** Applies newer updates. If they were reported to the leader, installs them at all members. */
    private void apply(
            List<MemberUpdate> receivedUpdates,
            boolean isReport,
            List<MembershipCommand> commands) {
        List<InstanceId> liveBefore = live();
        List<MemberUpdate> newUpdates = new ArrayList<>();
        for (MemberUpdate update : receivedUpdates) {
            MemberUpdate current = updates.get(update.instance());
            if (update.instance().equals(self.instance())) {
                rejoin(update, commands);
            } else if (update.supersedes(current.incarnation(), current.state())) {
                storeUpdate(update);
                newUpdates.add(update);
            }
        }
        if (newUpdates.isEmpty()) {
            return;
        }
        List<InstanceId> liveAfter = live();
        Set<InstanceId> previouslyLive = new HashSet<>(liveBefore);
        List<InstanceId> joined =
                liveAfter.stream().filter(id -> !previouslyLive.contains(id)).toList();
        liveAfter.forEach(previouslyLive::remove);
        if (!joined.isEmpty() || !previouslyLive.isEmpty()) {
            commands.add(
                    new MembershipCommand.ViewChanged(view(), joined, List.copyOf(previouslyLive)));
        }
        boolean isLeader = leader().equals(self.instance()) || joined.contains(leader());
        if (isReport && !newUpdates.isEmpty() && isLeader) {
            install(newUpdates, joined, commands);
        }
    }

    private void rejoin(MemberUpdate update, List<MembershipCommand> commands) {
        if (update.state() == MemberState.ALIVE || update.incarnation() < incarnation) {
            return;
        }
        incarnation = update.incarnation() + 1;
        storeUpdate(ownUpdate());
        report(ownUpdate(), commands);
    }

    private void install(
            List<MemberUpdate> newUpdates,
            List<InstanceId> joined,
            List<MembershipCommand> commands) {
        for (InstanceId member : live()) {
            boolean needsAll =
                    joined.contains(member)
                            || newUpdates.stream()
                                    .anyMatch(update -> update.instance().equals(member));
            List<MemberUpdate> sent = needsAll ? List.copyOf(updates.values()) : newUpdates;
            send(member, new MembershipMessage.Gossip(ConfigurationVersion.NONE, sent), commands);
        }
    }

    /**
     * Asks another candidate to install this process, beginning with the lowest id and going on to
     * the next one each second. Each candidate knows whether it is the leader.
     */
    private void join(Instant now, List<MembershipCommand> commands) {
        if (now.isBefore(nextJoin)) {
            return;
        }
        nextJoin = now.plus(PERIOD);
        List<InstanceId> others = new ArrayList<>(candidates.keySet());
        others.remove(self.instance());
        InstanceId contact = others.get(joinAttempts % others.size());
        joinAttempts++;
        send(
                contact,
                new MembershipMessage.IndirectProbe(
                        0, self.instance(), ConfigurationVersion.NONE, List.of(ownUpdate())),
                commands);
    }

    private void tick(Instant now, List<MembershipCommand> commands) {
        if (!hasView) {
            join(now, commands);
            lastHeartbeat = now;
        }
        List<InstanceId> ring = live();
        int position = ring.indexOf(self.instance());
        InstanceId successor = ring.get((position + 1) % ring.size());
        InstanceId predecessor = ring.get((position + ring.size() - 1) % ring.size());
        if (!successor.equals(monitored)) {
            monitored = successor;
            lastHeartbeat = now;
        }
        if (ring.size() > 1 && now.isAfter(lastHeartbeat.plus(TIMEOUT))) {
            lastHeartbeat = now;
            MemberUpdate current = updates.get(monitored);
            MemberUpdate dead = newUpdate(monitored, current.incarnation(), MemberState.DEAD);
            report(dead, commands);
        }
        if (!now.isBefore(nextHeartbeat)) {
            nextHeartbeat = now.plus(PERIOD);
            send(
                    predecessor,
                    new MembershipMessage.Gossip(ConfigurationVersion.NONE, List.of(ownUpdate())),
                    commands);
        }
    }

    /** Reports an update to the leader, or to the next live member if the leader is the subject. */
    private void report(MemberUpdate update, List<MembershipCommand> commands) {
        List<MemberUpdate> reported = List.of(update);
        InstanceId leader = leader();
        if (leader.equals(update.instance()) && !leader.equals(self.instance())) {
            leader =
                    live().stream()
                            .filter(id -> !id.equals(update.instance()))
                            .findFirst()
                            .orElse(self.instance());
        }
        if (leader.equals(self.instance())) {
            apply(reported, true, commands);
        } else {
            send(
                    leader,
                    new MembershipMessage.IndirectProbe(
                            0, update.instance(), ConfigurationVersion.NONE, reported),
                    commands);
        }
    }

    private InstanceId leader() {
        return live().get(0);
    }

    private MemberUpdate ownUpdate() {
        return newUpdate(self.instance(), incarnation, MemberState.ALIVE);
    }

    private MemberUpdate newUpdate(InstanceId instance, long updateIncarnation, MemberState state) {
        return new MemberUpdate(instance, process, updateIncarnation, state, Optional.empty());
    }

    private void send(InstanceId to, MembershipMessage message, List<MembershipCommand> commands) {
        if (!to.equals(self.instance())) {
            commands.add(new MembershipCommand.Send(to, candidates.get(to).address(), message));
        }
    }
}
