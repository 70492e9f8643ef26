package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
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
 * target, which then refutes it, so both sides merge without a restart.
 *
 * <p>Limits: a verdict can be wrong in both directions at any time, and two members may hold
 * different views for seconds. Clocks that differ by more than a period only make probes less even.
 */
public final class RandomProbeDetector implements FailureDetector {
    private static final int LONGEST_SUSPICION_FACTOR = 3;
    private static final int MISSES_IN_A_ROW = 3;

    private final Candidate self;
    private final ProcessId process;
    private final DetectorSettings settings;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeOrder order;
    private final UpdateQueue queue = new UpdateQueue();
    private final Map<Long, Relay> relays = new HashMap<>();
    private long incarnation;
    private long sequence;
    private boolean selfListed;
    private boolean leaving;
    private ConfigurationVersion configuration = ConfigurationVersion.NONE;
    private boolean announceConfiguration;
    private Optional<RunningProbe> running = Optional.empty();
    private int missesInARow;
    private long lastPeriod = Long.MIN_VALUE;
    private Instant lastTick;
    private Instant nextDeadProbe = Instant.EPOCH;
    private List<InstanceId> live = List.of();
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
        this.order = new ProbeOrder(self.instance(), hasher, settings.probePeriod());
        this.view = computeView();
        queue.add(ownClaim());
    }

    @Override
    public MemberView view() {
        return view;
    }

    @Override
    public List<MembershipCommand> handle(MembershipEvent event, Instant now) {
        List<MembershipCommand> commands = new ArrayList<>();
        if (event instanceof MembershipEvent.Tick) {
            tick(now, commands);
        } else if (event instanceof MembershipEvent.MessageReceived received) {
            receive(received.from(), received.message(), now, commands);
        } else if (event instanceof MembershipEvent.CandidatesListed listed) {
            selfListed =
                    listed.candidates().stream()
                            .anyMatch(candidate -> candidate.instance().equals(self.instance()));
            table.list(listed.candidates(), now);
        } else if (event instanceof MembershipEvent.ConfigurationInstalled installed) {
            configuration = installed.version();
            announceConfiguration = true;
        } else if (event instanceof MembershipEvent.Leaving) {
            leaving = true;
            queue.add(ownClaim());
            push(commands);
        }
        publishView(commands);
        return commands;
    }

    private void tick(Instant now, List<MembershipCommand> commands) {
        noticePause(now, commands);
        lastTick = now;
        for (InstanceId suspect : table.expiredSuspects(now)) {
            claimState(suspect, MemberState.DEAD, now, Instant.MAX);
        }
        relays.values().removeIf(relay -> now.isAfter(relay.expiresAt()));
        askHelpers(now, commands);
        long period = order.period(now);
        if (period != lastPeriod) {
            lastPeriod = period;
            endProbe(now, commands);
            startProbe(period, now, commands);
        }
        probeDead(now, commands);
        push(commands);
    }

    private void noticePause(Instant now, List<MembershipCommand> commands) {
        if (lastTick == null) {
            return;
        }
        Duration gap = Duration.between(lastTick, now);
        if (gap.compareTo(settings.pauseLimit()) <= 0) {
            return;
        }
        running = Optional.empty();
        missesInARow = 0;
        table.extendSuspicions(now.plus(settings.suspicionTime()));
        commands.add(new MembershipCommand.LocalPauseDetected(gap));
    }

    private void startProbe(long period, Instant now, List<MembershipCommand> commands) {
        if (leaving) {
            return;
        }
        Optional<InstanceId> target = order.target(period);
        if (target.isEmpty()) {
            return;
        }
        sequence++;
        running = Optional.of(new RunningProbe(sequence, target.get(), now, false));
        probe(sequence, target.get(), commands);
    }

    private void askHelpers(Instant now, List<MembershipCommand> commands) {
        if (running.isEmpty() || running.get().helpersAsked()) {
            return;
        }
        RunningProbe probe = running.get();
        if (now.isBefore(probe.sentAt().plus(settings.directTimeout()))) {
            return;
        }
        running = Optional.of(probe.withHelpersAsked());
        for (InstanceId helper : chooseLive(settings.indirectProbes(), probe.target())) {
            send(
                    helper,
                    new MembershipMessage.IndirectProbe(
                            probe.sequence(), probe.target(), configuration, claims(helper)),
                    commands);
        }
    }

    /** Ends the probe of the previous period; without an acknowledgement its target is suspect. */
    private void endProbe(Instant now, List<MembershipCommand> commands) {
        if (running.isEmpty()) {
            return;
        }
        InstanceId target = running.get().target();
        running = Optional.empty();
        missesInARow++;
        if (table.state(target).filter(MemberState.ALIVE::equals).isEmpty()) {
            return;
        }
        int factor = missesInARow >= MISSES_IN_A_ROW ? LONGEST_SUSPICION_FACTOR : 1;
        Instant end = now.plus(settings.suspicionTime().multipliedBy(factor));
        claimState(target, MemberState.SUSPECT, now, end);
        sequence++;
        probe(sequence, target, commands);
    }

    private void probeDead(Instant now, List<MembershipCommand> commands) {
        if (leaving || now.isBefore(nextDeadProbe)) {
            return;
        }
        nextDeadProbe = now.plus(settings.deadProbePeriod());
        List<InstanceId> dead = table.deadListed();
        if (!dead.isEmpty()) {
            sequence++;
            probe(sequence, dead.get(random.nextInt(dead.size())), commands);
        }
    }

    private void probe(long number, InstanceId target, List<MembershipCommand> commands) {
        send(target, new MembershipMessage.Probe(number, configuration, claims(target)), commands);
    }

    private void receive(
            InstanceId from,
            MembershipMessage message,
            Instant now,
            List<MembershipCommand> commands) {
        boolean wasAbsent = table.state(from).filter(MemberState::isLive).isEmpty();
        for (MemberUpdate update : message.updates()) {
            learn(update, now);
        }
        if (wasAbsent && table.state(from).filter(MemberState::isLive).isPresent()) {
            sendAbsent(from, commands);
        }
        if (message.configuration().compareTo(configuration) > 0) {
            commands.add(
                    new MembershipCommand.NewerConfigurationSeen(from, message.configuration()));
        }
        if (message instanceof MembershipMessage.Probe probe) {
            acknowledge(from, probe.sequence(), self.instance(), commands);
        } else if (message instanceof MembershipMessage.IndirectProbe indirect) {
            relay(from, indirect, now, commands);
        } else if (message instanceof MembershipMessage.ProbeAcknowledgement acknowledgement) {
            acknowledged(acknowledgement, commands);
        }
    }

    private void relay(
            InstanceId from,
            MembershipMessage.IndirectProbe indirect,
            Instant now,
            List<MembershipCommand> commands) {
        sequence++;
        Instant expiresAt = now.plus(settings.probePeriod());
        relays.put(sequence, new Relay(from, indirect.sequence(), expiresAt));
        probe(sequence, indirect.target(), commands);
    }

    private void acknowledged(
            MembershipMessage.ProbeAcknowledgement acknowledgement,
            List<MembershipCommand> commands) {
        Relay relay = relays.remove(acknowledgement.sequence());
        if (relay != null) {
            acknowledge(relay.asker(), relay.sequence(), acknowledgement.subject(), commands);
        }
        if (running.filter(probe -> probe.sequence() == acknowledgement.sequence()).isPresent()) {
            running = Optional.empty();
            missesInARow = 0;
        }
    }

    private void acknowledge(
            InstanceId to, long number, InstanceId subject, List<MembershipCommand> commands) {
        send(
                to,
                new MembershipMessage.ProbeAcknowledgement(
                        number, subject, configuration, claims(to)),
                commands);
    }

    private void learn(MemberUpdate update, Instant now) {
        if (update.instance().equals(self.instance())) {
            refute(update);
            return;
        }
        if (table.apply(update, now, now.plus(settings.suspicionTime()))) {
            queue.add(update);
        }
    }

    /** Answers a false claim about the own process with a higher incarnation. */
    private void refute(MemberUpdate update) {
        boolean claimedAway = !leaving && update.state() != MemberState.ALIVE;
        boolean otherProcess = !update.process().equals(process) && update.incarnation() > 0;
        if (update.incarnation() >= incarnation && (claimedAway || otherProcess)) {
            incarnation = update.incarnation() + 1;
            queue.add(ownClaim());
        }
    }

    private void claimState(InstanceId member, MemberState state, Instant now, Instant end) {
        Optional<MemberUpdate> known = table.claim(member);
        if (known.isEmpty()) {
            return;
        }
        MemberUpdate claim = known.get();
        MemberUpdate update =
                new MemberUpdate(
                        member, claim.process(), claim.incarnation(), state, claim.origin());
        if (table.apply(update, now, end)) {
            queue.add(update);
        }
    }

    /** Pushes what is new to a few random members at once. */
    private void push(List<MembershipCommand> commands) {
        if (!queue.hasFresh() && !announceConfiguration) {
            return;
        }
        announceConfiguration = false;
        List<MemberUpdate> fresh = queue.takeFresh(settings.updateLimit());
        for (InstanceId receiver : chooseLive(settings.gossipFanout(), self.instance())) {
            send(receiver, new MembershipMessage.Gossip(configuration, fresh), commands);
        }
    }

    /** Tells a newcomer who is absent, because it assumes that all candidates are alive. */
    private void sendAbsent(InstanceId newcomer, List<MembershipCommand> commands) {
        List<MemberUpdate> absent = table.claimsOfAbsent();
        for (int start = 0; start < absent.size(); start += settings.updateLimit()) {
            int end = Math.min(absent.size(), start + settings.updateLimit());
            send(
                    newcomer,
                    new MembershipMessage.Gossip(configuration, absent.subList(start, end)),
                    commands);
        }
    }

    /** Collects the own claim, what is wrongly or rightly believed of the receiver, and changes. */
    private List<MemberUpdate> claims(InstanceId receiver) {
        List<MemberUpdate> claims = new ArrayList<>();
        claims.add(ownClaim());
        table.claim(receiver)
                .filter(claim -> claim.state() != MemberState.ALIVE)
                .ifPresent(claims::add);
        int limit = settings.updateLimit() - claims.size();
        for (MemberUpdate update : queue.take(limit, live.size() + 1)) {
            if (!update.instance().equals(self.instance()) && !update.instance().equals(receiver)) {
                claims.add(update);
            }
        }
        return claims;
    }

    private MemberUpdate ownClaim() {
        return new MemberUpdate(
                self.instance(),
                process,
                incarnation,
                leaving ? MemberState.LEFT : MemberState.ALIVE,
                selfListed ? Optional.empty() : Optional.of(self));
    }

    private List<InstanceId> chooseLive(int count, InstanceId except) {
        if (live.size() <= count) {
            return live.stream().filter(member -> !member.equals(except)).toList();
        }
        Set<InstanceId> chosen = new HashSet<>();
        List<InstanceId> ordered = new ArrayList<>();
        int attempts = 4 * count;
        while (ordered.size() < count && attempts-- > 0) {
            InstanceId member = live.get(random.nextInt(live.size()));
            if (!member.equals(except) && chosen.add(member)) {
                ordered.add(member);
            }
        }
        return Collections.unmodifiableList(ordered);
    }

    private void send(InstanceId to, MembershipMessage message, List<MembershipCommand> commands) {
        commands.add(new MembershipCommand.Send(to, table.address(to), message));
    }

    private void publishView(List<MembershipCommand> commands) {
        if (!table.takeChanged()) {
            return;
        }
        Set<InstanceId> before = new HashSet<>(live);
        live = table.live();
        order.members(live);
        view = computeView();
        List<InstanceId> joined = live.stream().filter(id -> !before.contains(id)).toList();
        before.removeAll(live);
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
                        MemberState.ALIVE));
        members.sort((left, right) -> left.instance().compareTo(right.instance()));
        return new MemberView(self.instance(), members);
    }

    private record RunningProbe(
            long sequence, InstanceId target, Instant sentAt, boolean helpersAsked) {
        RunningProbe withHelpersAsked() {
            return new RunningProbe(sequence, target, sentAt, true);
        }
    }

    private record Relay(InstanceId asker, long sequence, Instant expiresAt) {}
}
