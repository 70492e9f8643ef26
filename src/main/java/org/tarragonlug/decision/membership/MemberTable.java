package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * The other members as known to this process, with the rules by which claims replace each other.
 *
 * <p>A candidate without any received claim counts as alive with incarnation 0. When a complete
 * deployment starts, all processes thus have the correct view immediately, and probing removes
 * candidates that do not run.
 */
final class MemberTable {
    /**
     * Time for which a removed member that is no longer listed stays in the table, so that late
     * claims do not add it again.
     */
    private static final Duration REMOVED_MEMBER_RETENTION = Duration.ofMinutes(10);

    private static final ProcessId UNKNOWN_PROCESS = new ProcessId("?");

    private final InstanceId self;
    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();
    private boolean viewChanged;
    private int suspects;
    private boolean suspectsChanged;

    MemberTable(InstanceId self) {
        this.self = self;
    }

    /** Applies the current list of candidates; new candidates count as alive. */
    void updateCandidates(List<Candidate> candidates, Instant now) {
        Set<InstanceId> listed = new HashSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.instance().equals(self)) {
                continue;
            }
            listed.add(candidate.instance());
            Entry entry = entries.get(candidate.instance());
            if (entry == null) {
                entry = new Entry(candidate, UNKNOWN_PROCESS, 0);
                entries.put(candidate.instance(), entry);
                viewChanged = true;
            }
            if (!entry.candidate.equals(candidate)) {
                entry.candidate = candidate;
                viewChanged = true;
            }
        }
        for (Entry entry : entries.values()) {
            entry.listed = listed.contains(entry.candidate.instance());
        }
        entries.values().removeIf(entry -> entry.isRetentionExpired(now));
    }

    /**
     * Applies a claim about another member.
     *
     * @return whether the claim changed the table
     */
    boolean apply(MemberUpdate update, Instant now, Instant suspicionEnd) {
        Entry entry = entries.get(update.instance());
        if (entry == null) {
            if (update.origin().isEmpty() || !update.state().isLive()) {
                return false;
            }
            // The negative incarnation marks a new entry, so that viewChanged is set below.
            entry = new Entry(update.origin().get(), update.process(), -1);
            entries.put(update.instance(), entry);
        } else if (!update.supersedes(entry.incarnation, entry.state)) {
            return false;
        }
        viewChanged |= entry.state.isLive() != update.state().isLive() || entry.incarnation < 0;
        viewChanged |= !entry.process.equals(update.process());
        suspectsChanged |= update.state() != entry.state;
        suspects += update.state() == MemberState.SUSPECT ? 1 : 0;
        suspects -= entry.state == MemberState.SUSPECT ? 1 : 0;
        entry.process = update.process();
        entry.incarnation = update.incarnation();
        entry.state = update.state();
        entry.stateSince = now;
        entry.suspicionEnd = suspicionEnd;
        return true;
    }

    /**
     * Applies a claim from a transfer of all claims of another member. After a partition, several
     * members of the other side send the same stale claim that a member is dead. Such a claim
     * therefore does not shorten a running suspicion of the same incarnation.
     */
    void applyTransferred(MemberUpdate update, Instant now, Instant suspicionEnd) {
        Entry entry = entries.get(update.instance());
        boolean isDeadClaimAboutSuspect =
                entry != null
                        && entry.state == MemberState.SUSPECT
                        && update.state() == MemberState.DEAD
                        && entry.incarnation == update.incarnation();
        if (!isDeadClaimAboutSuspect) {
            apply(update, now, suspicionEnd);
        }
    }

    /**
     * Returns whether a claim makes a member alive that is not alive in this table, or confirms
     * that the same process is alive.
     */
    boolean isRefutation(MemberUpdate update) {
        Entry entry = entries.get(update.instance());
        return entry != null
                && update.state() == MemberState.ALIVE
                && (entry.state != MemberState.ALIVE || entry.process.equals(update.process()));
    }

    /** Returns the claim that describes the entry of a member; empty if the member is unknown. */
    Optional<MemberUpdate> claim(InstanceId instance) {
        return Optional.ofNullable(entries.get(instance)).map(MemberTable::claim);
    }

    private static MemberUpdate claim(Entry entry) {
        return new MemberUpdate(
                entry.candidate.instance(),
                entry.process,
                entry.incarnation,
                entry.state,
                entry.listed ? Optional.empty() : Optional.of(entry.candidate));
    }

    /** Returns whether any claim about a member was received; new candidates have none. */
    boolean hasReceivedClaim(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry != null && !entry.process.equals(UNKNOWN_PROCESS);
    }

    /**
     * Returns whether a member is live now and was unknown, not live, or another process before.
     *
     * @param before the claim about the member before its message was applied
     */
    boolean isNewOrRejoined(InstanceId instance, Optional<MemberUpdate> before) {
        Entry after = entries.get(instance);
        if (after == null || !after.state.isLive()) {
            return false;
        }
        return before.isEmpty()
                || !before.get().state().isLive()
                || !before.get().process().equals(after.process);
    }

    /**
     * Returns the claims about all members in parts of nearly equal size. The receiver would
     * mistake a short last part for normal updates and spread the stale claims in it.
     *
     * @param maximumPartSize maximum number of claims in a part
     */
    List<List<MemberUpdate>> splitClaims(int maximumPartSize) {
        List<MemberUpdate> claims = entries.values().stream().map(MemberTable::claim).toList();
        int count = (claims.size() + maximumPartSize - 1) / maximumPartSize;
        List<List<MemberUpdate>> parts = new ArrayList<>();
        for (int part = 0; part < count; part++) {
            int start = claims.size() * part / count;
            parts.add(claims.subList(start, claims.size() * (part + 1) / count));
        }
        return parts;
    }

    /** Returns the claims about all suspect members. */
    List<MemberUpdate> suspectClaims() {
        if (suspects == 0) {
            return List.of();
        }
        return entries.values().stream()
                .filter(entry -> entry.state == MemberState.SUSPECT)
                .map(MemberTable::claim)
                .toList();
    }

    /**
     * Returns the known claims that have a greater incarnation than the given suspect, dead or left
     * claims. The author of the given claims missed a refutation.
     */
    List<MemberUpdate> newerClaims(List<MemberUpdate> claims) {
        List<MemberUpdate> newer = new ArrayList<>();
        for (MemberUpdate claim : claims) {
            Entry entry = entries.get(claim.instance());
            if (entry != null
                    && claim.state() != MemberState.ALIVE
                    && entry.incarnation > claim.incarnation()) {
                newer.add(claim(entry));
            }
        }
        return newer;
    }

    /** Returns whether a member is alive and not suspect. */
    boolean isAlive(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry != null && entry.state == MemberState.ALIVE;
    }

    /**
     * Returns whether the state of any member changed since the previous call, so that the set of
     * suspects may be different.
     */
    boolean pollSuspectsChanged() {
        boolean result = suspectsChanged;
        suspectsChanged = false;
        return result;
    }

    /** Returns the suspects whose suspicion time has ended. */
    List<InstanceId> expiredSuspects(Instant now) {
        List<InstanceId> expired = new ArrayList<>();
        if (suspects == 0) {
            return expired;
        }
        for (Entry entry : entries.values()) {
            if (entry.state == MemberState.SUSPECT && !now.isBefore(entry.suspicionEnd)) {
                expired.add(entry.candidate.instance());
            }
        }
        return expired;
    }

    /** Restarts the suspicion time of all suspects, because refutations may have been missed. */
    void extendSuspicions(Instant end) {
        for (Entry entry : entries.values()) {
            if (entry.state == MemberState.SUSPECT) {
                entry.suspicionEnd = end;
            }
        }
    }

    Optional<MemberState> state(InstanceId instance) {
        return Optional.ofNullable(entries.get(instance)).map(entry -> entry.state);
    }

    /** Returns the address of a member; an empty string if it is unknown. */
    String address(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry == null ? "" : entry.candidate.address();
    }

    /** Returns the other members of the live view, ordered by instance id. */
    List<InstanceId> live() {
        return select(entry -> entry.state.isLive());
    }

    /** Returns dead members that are still listed as candidates and may rejoin. */
    List<InstanceId> deadListed() {
        return select(entry -> entry.state == MemberState.DEAD && entry.listed);
    }

    /**
     * Returns the members that are alive, not suspect, and in the same failure domain as the given
     * member.
     */
    List<InstanceId> aliveInSameDomain(InstanceId instance) {
        Entry reference = entries.get(instance);
        if (reference == null) {
            return List.of();
        }
        FailureDomain domain = reference.candidate.failureDomain();
        return select(
                entry ->
                        entry.state == MemberState.ALIVE
                                && entry.candidate.failureDomain().equals(domain));
    }

    private List<InstanceId> select(Predicate<Entry> condition) {
        List<InstanceId> selected = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (condition.test(entry)) {
                selected.add(entry.candidate.instance());
            }
        }
        return selected;
    }

    /** Returns the state of the other members of the live view. */
    Collection<Member> liveMembers() {
        List<Member> members = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.state.isLive()) {
                members.add(entry.member());
            }
        }
        return members;
    }

    /** Returns whether the live view changed since the previous call. */
    boolean pollViewChanged() {
        boolean result = viewChanged;
        viewChanged = false;
        return result;
    }

    private static final class Entry {
        private Candidate candidate;
        private ProcessId process;
        private long incarnation;
        private MemberState state = MemberState.ALIVE;
        private Instant stateSince = Instant.EPOCH;
        private Instant suspicionEnd = Instant.MAX;
        private boolean listed;

        Entry(Candidate candidate, ProcessId process, long incarnation) {
            this.candidate = candidate;
            this.process = process;
            this.incarnation = incarnation;
        }

        boolean isRetentionExpired(Instant now) {
            return !listed
                    && !state.isLive()
                    && now.isAfter(stateSince.plus(REMOVED_MEMBER_RETENTION));
        }

        Member member() {
            return new Member(
                    candidate.instance(),
                    process,
                    candidate.address(),
                    candidate.failureDomain(),
                    incarnation,
                    state);
        }
    }
}
