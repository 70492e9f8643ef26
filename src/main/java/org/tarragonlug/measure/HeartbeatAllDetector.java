package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Baseline detector in which every member sends a heartbeat to all others each second. A member is
 * dead when no heartbeat arrived from it within the timeout. The total traffic grows with the
 * square of the number of members.
 */
final class HeartbeatAllDetector implements FailureDetector {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final ProcessId UNKNOWN_PROCESS = new ProcessId("?");

    private final Candidate self;
    private final ProcessId process;
    private final long incarnation;
    private final Map<InstanceId, Candidate> candidates = new TreeMap<>();
    private final Map<InstanceId, Instant> lastHeartbeats = new TreeMap<>();
    private final Map<InstanceId, Boolean> live = new TreeMap<>();
    private Instant nextHeartbeat = Instant.EPOCH;

    HeartbeatAllDetector(Candidate self, ProcessId process, long incarnation) {
        this.self = self;
        this.process = process;
        this.incarnation = incarnation;
    }

    @Override
    public MemberView view() {
        List<Member> members = new ArrayList<>();
        for (Candidate candidate : candidates.values()) {
            if (live.getOrDefault(candidate.instance(), false)) {
                members.add(
                        new Member(
                                candidate.instance(),
                                UNKNOWN_PROCESS,
                                candidate.address(),
                                candidate.failureDomain(),
                                0,
                                MemberState.ALIVE));
            }
        }
        return new MemberView(self.instance(), members);
    }

    @Override
    public List<MembershipCommand> handle(MembershipEvent event, Instant now) {
        List<MembershipCommand> commands = new ArrayList<>();
        if (event instanceof MembershipEvent.CandidatesListed listed) {
            for (Candidate candidate : listed.candidates()) {
                if (!candidate.instance().equals(self.instance())) {
                    candidates.put(candidate.instance(), candidate);
                    lastHeartbeats.putIfAbsent(candidate.instance(), now);
                    live.putIfAbsent(candidate.instance(), true);
                }
            }
        } else if (event instanceof MembershipEvent.MessageReceived received) {
            lastHeartbeats.put(received.from(), now);
            if (Boolean.FALSE.equals(live.put(received.from(), true))) {
                commands.add(
                        new MembershipCommand.ViewChanged(
                                view(), List.of(received.from()), List.of()));
            }
        } else if (event instanceof MembershipEvent.Tick) {
            tick(now, commands);
        }
        return commands;
    }

    private void tick(Instant now, List<MembershipCommand> commands) {
        List<InstanceId> lost = new ArrayList<>();
        for (Map.Entry<InstanceId, Instant> entry : lastHeartbeats.entrySet()) {
            if (live.get(entry.getKey()) && now.isAfter(entry.getValue().plus(TIMEOUT))) {
                live.put(entry.getKey(), false);
                lost.add(entry.getKey());
            }
        }
        if (!lost.isEmpty()) {
            commands.add(new MembershipCommand.ViewChanged(view(), List.of(), lost));
        }
        if (now.isBefore(nextHeartbeat)) {
            return;
        }
        nextHeartbeat = now.plus(PERIOD);
        MembershipMessage heartbeat =
                new MembershipMessage.Gossip(
                        ConfigurationVersion.NONE,
                        List.of(
                                new MemberUpdate(
                                        self.instance(),
                                        process,
                                        incarnation,
                                        MemberState.ALIVE,
                                        Optional.empty())));
        for (Candidate candidate : candidates.values()) {
            commands.add(
                    new MembershipCommand.Send(
                            candidate.instance(), candidate.address(), heartbeat));
        }
    }
}
