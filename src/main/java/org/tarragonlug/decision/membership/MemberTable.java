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
 * The other members as known here, with the rules by which claims replace each other.
 *
 * <p>A candidate that was never heard of counts as alive with incarnation 0: at the start of a
 * whole deployment all processes have the right view at once, and probing removes those that do not
 * exist.
 */
final class MemberTable {
    /** How long a dead member that is no longer listed stays known, against late claims. */
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

    /** Takes over the list of candidates; those that are new count as alive. */
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
     * Takes over a claim about another member.
     *
     * @return whether it was news
     */
    boolean apply(MemberUpdate update, Instant now, Instant suspicionEnd) {
        Entry entry = entries.get(update.instance());
        if (entry == null) {
            if (update.origin().isEmpty() || !update.state().isLive()) {
                return false;
            }
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
     * Takes over a claim from a transfer of all that another member knows. Several members of the
     * other side of a cut send the same stale verdict, so it does not cut a suspicion short.
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

    /** Tells whether a claim raises the incarnation of a process known here. */
    boolean isRefutation(MemberUpdate update) {
        Entry entry = entries.get(update.instance());
        return entry != null
                && update.state() == MemberState.ALIVE
                && (entry.state != MemberState.ALIVE || entry.process.equals(update.process()));
    }

    /** Returns the claim that describes a member as known here. */
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

    /** Tells whether any claim about a member came; candidates start without one. */
    boolean hasReceivedClaim(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry != null && !entry.process.equals(UNKNOWN_PROCESS);
    }

    /**
     * Tells whether a member is a new process or back from the dead.
     *
     * @param before the claim about it before its message was read
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
     * Returns the claims about all members in parts of even length: a short last part would be
     * taken for changes by its receiver, and stale verdicts in it would be spread.
     *
     * @param maximumPartSize most claims in a part
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

    /** Returns the claims that members are suspect. */
    List<MemberUpdate> suspectClaims() {
        if (suspects == 0) {
            return List.of();
        }
        return entries.values().stream()
                .filter(entry -> entry.state == MemberState.SUSPECT)
                .map(MemberTable::claim)
                .toList();
    }

    /** Returns what is known here of members whose refutation the author of some claims missed. */
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

    /** Tells whether a member is alive and not suspect. */
    boolean isAlive(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry != null && entry.state == MemberState.ALIVE;
    }

    /** Tells whether members became suspect, or ceased to be, since the previous call. */
    boolean pollSuspectsChanged() {
        boolean result = suspectsChanged;
        suspectsChanged = false;
        return result;
    }

    /** Returns the suspects whose time to refute is over. */
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

    /** Gives all suspects time anew, because refutations may have been missed. */
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

    /** Returns the address of a member; empty text if it was never learnt. */
    String address(InstanceId instance) {
        Entry entry = entries.get(instance);
        return entry == null ? "" : entry.candidate.address();
    }

    /** Returns the other members of the live view, ordered by instance id. */
    List<InstanceId> live() {
        return select(entry -> entry.state.isLive());
    }

    /** Returns dead members that are still listed and may come back. */
    List<InstanceId> deadListed() {
        return select(entry -> entry.state == MemberState.DEAD && entry.listed);
    }

    /** Returns members of the failure domain of a member that are alive and not suspect. */
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

    /** Returns the other members of the live view. */
    Collection<Member> liveMembers() {
        List<Member> members = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.state.isLive()) {
                members.add(entry.member());
            }
        }
        return members;
    }

    /** Tells whether the live view changed since the previous call. */
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
            return !listed && !state.isLive() && now.isAfter(stateSince.plus(REMOVED_MEMBER_RETENTION));
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
