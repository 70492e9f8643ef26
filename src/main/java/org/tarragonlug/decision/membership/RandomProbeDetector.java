package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Failure detector based on SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", 2002).
 *
 * <p>In each period the detector probes one member, chosen by {@link ProbeOrder}. If no
 * acknowledgement arrives in time, a few other members are asked to probe the same target, so that
 * a single broken path does not cause a suspicion. If these indirect probes fail too, the member
 * becomes suspect. A suspect that receives the suspicion refutes it with a higher incarnation;
 * otherwise every member declares the suspect dead when the suspicion time ends. All messages carry
 * member updates, and new updates are also pushed to a few pseudo-randomly chosen members at once.
 * This is an epidemic dissemination whose rounds last one tick, so an update reaches all members
 * within a second.
 *
 * <p>Pauses of this process: after a long gap between two ticks, acknowledgements and refutations
 * may have arrived without having been read yet. The detector therefore abandons running probes and
 * restarts the time of all suspicions. If several probes in a row fail, the network connection of
 * this process is the more likely cause. Suspicions raised by this process then last longer here,
 * while other members still apply the normal time.
 *
 * <p>Partitions: dead candidates are probed periodically. A probe carries the assumed state of its
 * target, so the target can refute it and both sides merge without a restart. A received claim that
 * an alive member is dead only raises a suspicion: when two sides merge, such claims come from the
 * other side, and the member can refute them before any member on this side removes it.
 *
 * <p>Limits: the detector can at any time consider a failed member alive or a live member dead, and
 * two members may have different views for seconds. If clocks differ by more than a period, the
 * only effect is that probes are distributed less evenly.
 */
public final class RandomProbeDetector implements FailureDetector {
    private static final int EXTENDED_SUSPICION_FACTOR = 3;
    private static final int CONSECUTIVE_MISS_THRESHOLD = 3;
    private static final int MEMBERS_PER_DEAD_PROBE = 40;

    /** Limits the extra probes when many paths are broken, for instance by one-way packet loss. */
    private static final int MAX_EXTRA_PROBES = 2;

    /**
     * Messages of a transfer to a new member carry up to this many times the usual update limit.
     */
    private static final int TRANSFER_SIZE_FACTOR = 4;

    private final Candidate self;
    private final ProcessId process;
    private final DetectorSettings settings;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeOrder probeOrder;
    private final UpdateQueue updateQueue = new UpdateQueue();
    private final RunningProbes runningProbes;
    private final Map<Long, Relay> relays = new HashMap<>();
    private final OwnClaim ownClaim;
    private final MessageClaims messageClaims;
    private long sequence;
    private ConfigurationVersion configuration = ConfigurationVersion.NONE;
    private boolean announceConfiguration;
    private int consecutiveMisses;
    private long lastPeriod = Long.MIN_VALUE;
    private Instant lastTick;
    private Instant nextDeadProbe = Instant.EPOCH;
    private List<InstanceId> live = List.of();
    private List<InstanceId> neighbours = List.of();
    private MemberView view;

    /**
     * Creates a detector.
     *
     * @param self the instance of this process
     * @param process id of this process
     * @param incarnation start time of this process, in milliseconds since the epoch
     * @param settings times and limits
     * @param hasher hash function that is the same in every process
     * @param random chooses helpers for indirect probes, and targets of extra probes and of probes
     *     of dead members
     */
    public RandomProbeDetector(
            Candidate self,
            ProcessId process,
            long incarnation,
            DetectorSettings settings,
            Hasher hasher,
            RandomGenerator random) {
        this.self = self;
        this.process = process;
        this.ownClaim = new OwnClaim(self, process, incarnation);
        this.settings = settings;
        this.random = random;
        this.table = new MemberTable(self.instance());
        this.probeOrder = new ProbeOrder(self.instance(), hasher, settings.probePeriod());
        this.runningProbes = new RunningProbes(settings);
        this.messageClaims =
                new MessageClaims(
                        self.instance(), ownClaim, table, updateQueue, settings.updateLimit());
        this.view = computeView();
        updateQueue.add(ownClaim.current());
    }

    @Override
    public MemberView view() {
        return view;
    }

    @Override
    public List<MembershipCommand> handle(MembershipEvent event, Instant now) {
        List<MembershipCommand> commands = new ArrayList<>();
        if (event instanceof MembershipEvent.Tick) {
            onTick(now, commands);
        } else if (event instanceof MembershipEvent.MessageReceived received) {
            onMessage(received.from(), received.message(), now, commands);
        } else if (event instanceof MembershipEvent.CandidatesListed listed) {
            ownClaim.setListed(
                    listed.candidates().stream()
                            .anyMatch(candidate -> candidate.instance().equals(self.instance())));
            table.updateCandidates(listed.candidates(), now);
        } else if (event instanceof MembershipEvent.ConfigurationInstalled installed) {
            configuration = installed.version();
            announceConfiguration = true;
        } else if (event instanceof MembershipEvent.Leaving) {
            ownClaim.leave();
            updateQueue.add(ownClaim.current());
            pushUpdates(now, commands);
        }
        publishView(commands);
        return commands;
    }

    private void onTick(Instant now, List<MembershipCommand> commands) {
        detectPause(now, commands);
        lastTick = now;
        for (InstanceId suspect : table.expiredSuspects(now)) {
            changeState(suspect, MemberState.DEAD, now, Instant.MAX);
        }
        relays.values().removeIf(relay -> now.isAfter(relay.expiresAt()));
        sendIndirectProbes(now, commands);
        runningProbes.takeExpired(now).forEach(probe -> onProbeTimeout(probe, now, commands));
        long period = probeOrder.periodNumber(now);
        if (period != lastPeriod) {
            lastPeriod = period;
            startProbe(period, now, commands);
        }
        probeDeadMember(now, commands);
        pushUpdates(now, commands);
    }

    private void detectPause(Instant now, List<MembershipCommand> commands) {
        if (lastTick == null) {
            return;
        }
        Duration gap = Duration.between(lastTick, now);
        if (gap.compareTo(settings.pauseLimit()) <= 0) {
            return;
        }
        runningProbes.clear();
        consecutiveMisses = 0;
        table.extendSuspicions(now.plus(settings.suspicionTime()));
        commands.add(new MembershipCommand.LocalPauseDetected(gap));
    }

    private void startProbe(long period, Instant now, List<MembershipCommand> commands) {
        if (ownClaim.isLeaving() || runningProbes.isPeriodicRunning()) {
            return;
        }
        Optional<InstanceId> target = probeOrder.target(period);
        if (target.isEmpty()) {
            return;
        }
        sequence++;
        runningProbes.start(sequence, target.get(), now, true);
        // The probe carries all suspicions. The acknowledgement returns refutations that this
        // process missed, before this process removes the suspect.
        List<MemberUpdate> claims = claimsFor(target.get(), table.suspectClaims());
        send(target.get(), new MembershipMessage.Probe(sequence, configuration, claims), commands);
    }

    private void sendIndirectProbes(Instant now, List<MembershipCommand> commands) {
        for (RunningProbes.Probe probe : runningProbes.takeDueForIndirectProbes(now)) {
            if (!table.isAlive(probe.target())) {
                continue;
            }
            for (InstanceId helper : helpers(probe.target())) {
                send(
                        helper,
                        new MembershipMessage.IndirectProbe(
                                probe.sequence(),
                                probe.target(),
                                configuration,
                                claimsFor(helper, List.of())),
                        commands);
            }
            if (probe.isPeriodic()) {
                probeSameDomain(probe.target(), now, commands);
            }
        }
    }

    /**
     * Probes another member of the failure domain of a member that missed a probe. When a complete
     * domain is lost, a fifth of the probing members is lost too. A lost member whose prober is
     * also lost would otherwise wait for its first probe until the next period, and some would wait
     * for four periods.
     */
    private void probeSameDomain(
            InstanceId missedMember, Instant now, List<MembershipCommand> commands) {
        if (ownClaim.isLeaving() || runningProbes.extraCount() >= MAX_EXTRA_PROBES) {
            return;
        }
        List<InstanceId> sameDomain = new ArrayList<>(table.aliveInSameDomain(missedMember));
        sameDomain.removeIf(
                member -> member.equals(missedMember) || runningProbes.isProbing(member));
        if (!sameDomain.isEmpty()) {
            InstanceId target = sameDomain.get(random.nextInt(sameDomain.size()));
            sequence++;
            runningProbes.start(sequence, target, now, false);
            sendProbe(sequence, target, commands);
        }
    }

    /** Handles a probe that was not acknowledged in time: an alive target becomes suspect. */
    private void onProbeTimeout(
            RunningProbes.Probe probe, Instant now, List<MembershipCommand> commands) {
        InstanceId target = probe.target();
        consecutiveMisses += probe.isPeriodic() ? 1 : 0;
        if (!table.isAlive(target)) {
            return;
        }
        int factor =
                consecutiveMisses >= CONSECUTIVE_MISS_THRESHOLD ? EXTENDED_SUSPICION_FACTOR : 1;
        Instant end = now.plus(settings.suspicionTime().multipliedBy(factor));
        changeState(target, MemberState.SUSPECT, now, end);
        sequence++;
        sendProbe(sequence, target, commands);
    }

    private void probeDeadMember(Instant now, List<MembershipCommand> commands) {
        if (ownClaim.isLeaving() || now.isBefore(nextDeadProbe)) {
            return;
        }
        List<InstanceId> dead = table.deadListed();
        // The factor grows with the number of members, so that the rate at which all members
        // together probe dead members stays nearly constant.
        long factor = 1 + (live.size() + dead.size()) / MEMBERS_PER_DEAD_PROBE;
        nextDeadProbe = now.plus(settings.deadProbePeriod().multipliedBy(factor));
        if (!dead.isEmpty()) {
            sequence++;
            sendProbe(sequence, dead.get(random.nextInt(dead.size())), commands);
        }
    }

    private void sendProbe(
            long probeSequence, InstanceId target, List<MembershipCommand> commands) {
        List<MemberUpdate> claims = claimsFor(target, List.of());
        send(target, new MembershipMessage.Probe(probeSequence, configuration, claims), commands);
    }

    private void onMessage(
            InstanceId from,
            MembershipMessage message,
            Instant now,
            List<MembershipCommand> commands) {
        Optional<MemberUpdate> before = table.claim(from);
        // Only a transfer of all claims exceeds the limit. The sender sends it to this process
        // alone, as a new member, so this process does not disseminate the claims further.
        boolean isTransfer = message.updates().size() > settings.updateLimit();
        for (MemberUpdate update : message.updates()) {
            applyUpdate(from, update, now, isTransfer);
        }
        if (message.configuration().compareTo(configuration) > 0) {
            commands.add(
                    new MembershipCommand.NewerConfigurationDetected(
                            from, message.configuration()));
        }
        if (message instanceof MembershipMessage.Probe probe) {
            List<MemberUpdate> claims = claimsFor(from, table.newerClaims(message.updates()));
            acknowledge(from, probe.sequence(), self.instance(), claims, commands);
            if (table.isNewOrRejoined(from, before)) {
                transferClaims(from, commands);
            }
        } else if (message instanceof MembershipMessage.IndirectProbe indirect) {
            relayProbe(from, indirect, now, commands);
        } else if (message instanceof MembershipMessage.ProbeAcknowledgement acknowledgement) {
            onAcknowledgement(acknowledgement, commands);
        }
    }

    private void relayProbe(
            InstanceId from,
            MembershipMessage.IndirectProbe indirect,
            Instant now,
            List<MembershipCommand> commands) {
        sequence++;
        Instant expiresAt = now.plus(settings.probePeriod());
        relays.put(sequence, new Relay(from, indirect.sequence(), expiresAt));
        sendProbe(sequence, indirect.target(), commands);
        if (table.isAlive(indirect.target())) {
            probeSameDomain(indirect.target(), now, commands);
        }
    }

    private void onAcknowledgement(
            MembershipMessage.ProbeAcknowledgement acknowledgement,
            List<MembershipCommand> commands) {
        Relay relay = relays.remove(acknowledgement.sequence());
        if (relay != null) {
            InstanceId requester = relay.requester();
            List<MemberUpdate> claims = claimsFor(requester, List.of());
            acknowledge(requester, relay.sequence(), acknowledgement.subject(), claims, commands);
        }
        if (runningProbes.removeAcknowledged(acknowledgement.sequence()).isPresent()) {
            consecutiveMisses = 0;
        }
    }

    private void acknowledge(
            InstanceId to,
            long probeSequence,
            InstanceId subject,
            List<MemberUpdate> claims,
            List<MembershipCommand> commands) {
        send(
                to,
                new MembershipMessage.ProbeAcknowledgement(
                        probeSequence, subject, configuration, claims),
                commands);
    }

    private void applyUpdate(
            InstanceId from, MemberUpdate update, Instant now, boolean isTransfer) {
        if (update.instance().equals(self.instance())) {
            if (ownClaim.refute(update)) {
                updateQueue.add(ownClaim.current());
            }
            return;
        }
        boolean isAlive = table.isAlive(update.instance());
        boolean isRefutation = table.isRefutation(update);
        MemberUpdate claim = update;
        Duration suspicion = settings.suspicionTime();
        if (isAlive && update.state() == MemberState.DEAD) {
            claim = update.withState(MemberState.SUSPECT);
            // Half of the suspicion time suffices because the author of the claim already waited
            // for the full time. A transfer after a partition needs a longer time: the members that
            // it claims dead are still learning of the claims.
            suspicion =
                    isTransfer && table.hasReceivedClaim(update.instance())
                            ? suspicion.multipliedBy(EXTENDED_SUSPICION_FACTOR)
                            : suspicion.dividedBy(2);
        }
        if (isTransfer) {
            table.applyTransferred(claim, now, now.plus(suspicion));
            return;
        }
        if (!table.apply(claim, now, now.plus(suspicion))) {
            if (!update.instance().equals(from)) {
                updateQueue.countReceivedCopy(claim);
            }
            return;
        }
        if (claim.state() == MemberState.DEAD) {
            updateQueue.addWithoutPush(claim);
        } else if (isRefutation) {
            updateQueue.addRefutation(claim);
        } else {
            updateQueue.add(claim);
        }
    }

    private void changeState(InstanceId member, MemberState state, Instant now, Instant end) {
        Optional<MemberUpdate> current = table.claim(member);
        if (current.isEmpty()) {
            return;
        }
        MemberUpdate update = current.get().withState(state);
        if (!table.apply(update, now, end)) {
            return;
        }
        if (state == MemberState.DEAD) {
            // The suspicion was pushed to all others; each of them declares the member dead itself.
            updateQueue.addWithoutPush(update);
        } else {
            updateQueue.add(update);
        }
    }

    /** Pushes new updates and a new configuration version to the neighbours at once. */
    private void pushUpdates(Instant now, List<MembershipCommand> commands) {
        List<MemberUpdate> updates = updateQueue.takePushes(settings.updateLimit(), now);
        if (updates.isEmpty() && !announceConfiguration) {
            return;
        }
        announceConfiguration = false;
        for (InstanceId receiver : neighbours()) {
            send(receiver, new MembershipMessage.Gossip(configuration, updates), commands);
        }
    }

    /**
     * Sends all known claims to a new member. A new member assumes that all candidates are alive. A
     * suspicion that it raises without knowing the current incarnation would have no effect at
     * other members.
     */
    private void transferClaims(InstanceId newMember, List<MembershipCommand> commands) {
        for (List<MemberUpdate> part :
                table.splitClaims(TRANSFER_SIZE_FACTOR * settings.updateLimit())) {
            send(newMember, new MembershipMessage.Gossip(configuration, part), commands);
        }
    }

    private List<MemberUpdate> claimsFor(InstanceId receiver, List<MemberUpdate> priorityClaims) {
        return messageClaims.select(receiver, priorityClaims, live.size() + 1);
    }

    private List<InstanceId> neighbours() {
        if (neighbours.isEmpty() && !live.isEmpty()) {
            neighbours = probeOrder.neighbours(settings.gossipFanout(), table::isAlive);
        }
        return neighbours;
    }

    /**
     * Chooses helpers for indirect probes among the neighbours, because connections to them are
     * already open.
     */
    private List<InstanceId> helpers(InstanceId target) {
        List<InstanceId> helpers = new ArrayList<>(neighbours());
        helpers.remove(target);
        while (helpers.size() > settings.indirectProbes()) {
            helpers.remove(random.nextInt(helpers.size()));
        }
        return helpers;
    }

    private void send(InstanceId to, MembershipMessage message, List<MembershipCommand> commands) {
        commands.add(new MembershipCommand.Send(to, table.address(to), message));
    }

    private void publishView(List<MembershipCommand> commands) {
        if (table.pollSuspectsChanged()) {
            neighbours = List.of();
        }
        if (!table.pollViewChanged()) {
            return;
        }
        Set<InstanceId> before = new HashSet<>(live);
        live = table.live();
        probeOrder.setMembers(live);
        neighbours = List.of();
        view = computeView();
        List<InstanceId> joined = live.stream().filter(id -> !before.contains(id)).toList();
        live.forEach(before::remove);
        List<InstanceId> lost = before.stream().sorted().toList();
        commands.add(new MembershipCommand.ViewChanged(view, joined, lost));
    }

    private MemberView computeView() {
        List<Member> members = new ArrayList<>(table.liveMembers());
        members.add(
                new Member(
                        self.instance(),
                        process,
                        self.address(),
                        self.failureDomain(),
                        ownClaim.incarnation(),
                        MemberState.ALIVE));
        members.sort((left, right) -> left.instance().compareTo(right.instance()));
        return new MemberView(self.instance(), members);
    }

    private record Relay(InstanceId requester, long sequence, Instant expiresAt) {}
}
