package org.tarragonlug.decision.membership;

import static org.tarragonlug.decision.membership.MemberState.ALIVE;

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
 * Failure detector after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", 2002).
 *
 * <p>In each period it probes one member, chosen by {@link ProbeOrder}. If no acknowledgement comes
 * in time, a few other members are asked to probe it, which avoids a verdict where only one path is
 * broken. If that fails too, the member becomes suspect. A suspect that hears of it refutes with a
 * higher incarnation; otherwise every member declares it dead when the suspicion time is over.
 * Changes travel with all messages, and new ones are also pushed to a few random members at once:
 * an epidemic whose rounds last one tick, so all members learn a change within a second.
 *
 * <p>Pauses of the own process: a long gap between two ticks means that acknowledgements and
 * refutations wait unread, so running probes are abandoned and all suspicions start anew. When
 * several probes in a row fail, the own network is the likelier cause; suspicions raised here then
 * last longer, while other members still apply the normal time.
 *
 * <p>Partitions: dead candidates are probed now and then. A probe carries what is believed of its
 * target, which then refutes it, so both sides merge without a restart. A claim that an alive
 * member is dead is taken as a suspicion: when two sides merge, it comes from the other side, and
 * the member can refute it before anybody here removes it.
 *
 * <p>Limits: a verdict can be wrong in both directions at any time, and two members may hold
 * different views for seconds. Clocks that differ by more than a period only make probes less even.
 */
public final class RandomProbeDetector implements FailureDetector {
    private static final int EXTENDED_SUSPICION_FACTOR = 3;
    private static final int CONSECUTIVE_MISS_THRESHOLD = 3;
    private static final int MEMBERS_PER_DEAD_PROBE = 40;

    /** Bounds the extra probes where many paths are broken, one-way loss for instance. */
    private static final int MAX_EXTRA_PROBES = 2;

    /** A transfer to a newcomer has messages of this many times the usual limit of changes. */
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
    private long incarnation;
    private long sequence;
    private MemberUpdate ownClaim;
    private boolean selfListed;
    private boolean leaving;
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
     * @param self the own instance
     * @param process the own process
     * @param incarnation start time of the own process, milliseconds since the epoch
     * @param settings times and sizes
     * @param hasher the same in every process
     * @param random chooses helpers and receivers of pushed changes
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
        this.incarnation = incarnation;
        this.settings = settings;
        this.random = random;
        this.table = new MemberTable(self.instance());
        this.probeOrder = new ProbeOrder(self.instance(), hasher, settings.probePeriod());
        this.runningProbes = new RunningProbes(settings);
        this.view = computeView();
        updateQueue.add(ownClaim());
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
            selfListed =
                    listed.candidates().stream()
                            .anyMatch(candidate -> candidate.instance().equals(self.instance()));
            table.updateCandidates(listed.candidates(), now);
        } else if (event instanceof MembershipEvent.ConfigurationInstalled installed) {
            configuration = installed.version();
            announceConfiguration = true;
        } else if (event instanceof MembershipEvent.Leaving) {
            leaving = true;
            updateQueue.add(ownClaim());
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
        if (leaving || runningProbes.isPeriodicRunning()) {
            return;
        }
        Optional<InstanceId> target = probeOrder.target(period);
        if (target.isEmpty()) {
            return;
        }
        sequence++;
        runningProbes.start(sequence, target.get(), now, true);
        // A member that missed a refutation is told by the answer before it removes the suspect.
        List<MemberUpdate> claims = buildClaims(target.get(), table.suspectClaims());
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
                                buildClaims(helper, List.of())),
                        commands);
            }
            if (probe.isPeriodic()) {
                probeSameDomain(probe.target(), now, commands);
            }
        }
    }

    /**
     * Probes a member of the failure domain of one that missed a probe. When a whole domain is
     * lost, a fifth of the probers is lost too, and a member whose prober is lost would wait for
     * the next period, some for four of them.
     */
    private void probeSameDomain(InstanceId missed, Instant now, List<MembershipCommand> commands) {
        if (leaving || runningProbes.extraCount() >= MAX_EXTRA_PROBES) {
            return;
        }
        List<InstanceId> sameDomain = new ArrayList<>(table.aliveInSameDomain(missed));
        sameDomain.removeIf(mate -> mate.equals(missed) || runningProbes.isProbing(mate));
        if (!sameDomain.isEmpty()) {
            InstanceId target = sameDomain.get(random.nextInt(sameDomain.size()));
            sequence++;
            runningProbes.start(sequence, target, now, false);
            sendProbe(sequence, target, commands);
        }
    }

    /** Ends a probe that got no acknowledgement; its target becomes suspect. */
    private void onProbeTimeout(
            RunningProbes.Probe probe, Instant now, List<MembershipCommand> commands) {
        InstanceId target = probe.target();
        consecutiveMisses += probe.isPeriodic() ? 1 : 0;
        if (!table.isAlive(target)) {
            return;
        }
        int factor = consecutiveMisses >= CONSECUTIVE_MISS_THRESHOLD ? EXTENDED_SUSPICION_FACTOR : 1;
        Instant end = now.plus(settings.suspicionTime().multipliedBy(factor));
        changeState(target, MemberState.SUSPECT, now, end);
        sequence++;
        sendProbe(sequence, target, commands);
    }

    private void probeDeadMember(Instant now, List<MembershipCommand> commands) {
        if (leaving || now.isBefore(nextDeadProbe)) {
            return;
        }
        List<InstanceId> dead = table.deadListed();
        // All members together probe the dead at a constant rate, whatever their number.
        long factor = 1 + (live.size() + dead.size()) / MEMBERS_PER_DEAD_PROBE;
        nextDeadProbe = now.plus(settings.deadProbePeriod().multipliedBy(factor));
        if (!dead.isEmpty()) {
            sequence++;
            sendProbe(sequence, dead.get(random.nextInt(dead.size())), commands);
        }
    }

    private void sendProbe(long number, InstanceId target, List<MembershipCommand> commands) {
        List<MemberUpdate> claims = buildClaims(target, List.of());
        send(target, new MembershipMessage.Probe(number, configuration, claims), commands);
    }

    private void onMessage(
            InstanceId from,
            MembershipMessage message,
            Instant now,
            List<MembershipCommand> commands) {
        Optional<MemberUpdate> before = table.claim(from);
        // Only a transfer of all that is known exceeds the limit; it is news to a newcomer alone.
        boolean isTransfer = message.updates().size() > settings.updateLimit();
        for (MemberUpdate update : message.updates()) {
            applyUpdate(from, update, now, isTransfer);
        }
        if (message.configuration().compareTo(configuration) > 0) {
            commands.add(
                    new MembershipCommand.NewerConfigurationDetected(from, message.configuration()));
        }
        if (message instanceof MembershipMessage.Probe probe) {
            List<MemberUpdate> claims = buildClaims(from, table.newerClaims(message.updates()));
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
            List<MemberUpdate> claims = buildClaims(requester, List.of());
            acknowledge(requester, relay.sequence(), acknowledgement.subject(), claims, commands);
        }
        if (runningProbes.removeAcknowledged(acknowledgement.sequence()).isPresent()) {
            consecutiveMisses = 0;
        }
    }

    private void acknowledge(
            InstanceId to,
            long number,
            InstanceId subject,
            List<MemberUpdate> claims,
            List<MembershipCommand> commands) {
        send(
                to,
                new MembershipMessage.ProbeAcknowledgement(number, subject, configuration, claims),
                commands);
    }

    private void applyUpdate(InstanceId from, MemberUpdate update, Instant now, boolean isTransfer) {
        if (update.instance().equals(self.instance())) {
            refute(update);
            return;
        }
        boolean isAlive = table.isAlive(update.instance());
        boolean isRefutation = table.isRefutation(update);
        MemberUpdate claim = update;
        Duration suspicion = settings.suspicionTime();
        if (isAlive && update.state() == MemberState.DEAD) {
            claim = update.withState(MemberState.SUSPECT);
            // Half of the time suffices: the claim reached a member that declared it after all.
            // But a whole view of the other side of a cut names members that still learn of it.
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

    /** Answers a false claim about the own process with a higher incarnation. */
    private void refute(MemberUpdate update) {
        boolean claimedNotAlive = !leaving && update.state() != ALIVE;
        boolean otherProcess = !update.process().equals(process) && update.incarnation() > 0;
        if (update.incarnation() >= incarnation && (claimedNotAlive || otherProcess)) {
            incarnation = update.incarnation() + 1;
            updateQueue.add(ownClaim());
        }
    }

    private void changeState(InstanceId member, MemberState state, Instant now, Instant end) {
        Optional<MemberUpdate> known = table.claim(member);
        if (known.isEmpty()) {
            return;
        }
        MemberUpdate update = known.get().withState(state);
        if (!table.apply(update, now, end)) {
            return;
        }
        if (state == MemberState.DEAD) {
            // All others had the suspicion pushed to them and come to the verdict by themselves.
            updateQueue.addWithoutPush(update);
        } else {
            updateQueue.add(update);
        }
    }

    /** Pushes what is new to a few random members at once. */
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
     * Sends a newcomer all that is known. It assumes that all candidates are alive, and a suspicion
     * that it raised without knowing the incarnation would convince nobody.
     */
    private void transferClaims(InstanceId newcomer, List<MembershipCommand> commands) {
        for (List<MemberUpdate> part :
                table.splitClaims(TRANSFER_SIZE_FACTOR * settings.updateLimit())) {
            send(newcomer, new MembershipMessage.Gossip(configuration, part), commands);
        }
    }

    /** Collects the own claim, what is believed of the receiver, claims for it, and changes. */
    private List<MemberUpdate> buildClaims(InstanceId receiver, List<MemberUpdate> priorityClaims) {
        List<MemberUpdate> claims = new ArrayList<>();
        claims.add(ownClaim());
        table.claim(receiver).filter(claim -> claim.state() != ALIVE).ifPresent(claims::add);
        priorityClaims.stream()
                .filter(claim -> !claim.instance().equals(receiver))
                .limit(settings.updateLimit() - claims.size())
                .forEach(claims::add);
        int limit = settings.updateLimit() - claims.size();
        for (MemberUpdate update : updateQueue.take(limit, live.size() + 1)) {
            if (!update.instance().equals(self.instance()) && !update.instance().equals(receiver)) {
                claims.add(update);
            }
        }
        return claims;
    }

    private MemberUpdate ownClaim() {
        MemberState state = leaving ? MemberState.LEFT : ALIVE;
        Optional<Candidate> origin = selfListed ? Optional.empty() : Optional.of(self);
        if (ownClaim == null
                || ownClaim.incarnation() != incarnation
                || ownClaim.state() != state
                || !ownClaim.origin().equals(origin)) {
            ownClaim = new MemberUpdate(self.instance(), process, incarnation, state, origin);
        }
        return ownClaim;
    }

    private List<InstanceId> neighbours() {
        if (neighbours.isEmpty() && !live.isEmpty()) {
            neighbours = probeOrder.neighbours(settings.gossipFanout(), table::isAlive);
        }
        return neighbours;
    }

    /** Chooses neighbours as helpers, because their connections are open. */
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
                        incarnation,
                        ALIVE));
        members.sort((left, right) -> left.instance().compareTo(right.instance()));
        return new MemberView(self.instance(), members);
    }

    private record Relay(InstanceId requester, long sequence, Instant expiresAt) {}
}
