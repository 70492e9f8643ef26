package org.tarragonlug.decision.membership;

import java.util.Optional;
import org.tarragonlug.id.ProcessId;

/**
 * What this process says about itself. Its incarnation grows whenever it refutes a false claim, so
 * that its word goes before that claim at every member.
 */
final class OwnClaim {
    private final Candidate self;
    private final ProcessId process;
    private long incarnation;
    private boolean listed;
    private boolean leaving;
    private MemberUpdate current;

    /**
     * Creates the claim of a process that has just started and is not listed yet.
     *
     * @param self the instance of this process
     * @param process id of this process
     * @param incarnation start time of this process, in milliseconds since the epoch
     */
    OwnClaim(Candidate self, ProcessId process, long incarnation) {
        this.self = self;
        this.process = process;
        this.incarnation = incarnation;
    }

    /** Returns the present claim; the same object as long as it says the same. */
    MemberUpdate current() {
        MemberState state = leaving ? MemberState.LEFT : MemberState.ALIVE;
        Optional<Candidate> origin = listed ? Optional.empty() : Optional.of(self);
        if (current == null
                || current.incarnation() != incarnation
                || current.state() != state
                || !current.origin().equals(origin)) {
            current = new MemberUpdate(self.instance(), process, incarnation, state, origin);
        }
        return current;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Sets whether others know this instance from the instance list. */
    void setListed(boolean isListed) {
        listed = isListed;
    }

    /** Says from now on that this process leaves. */
    void leave() {
        leaving = true;
    }

    /** Refutes a false claim about this process, and returns whether the claim was false. */
    boolean refute(MemberUpdate claim) {
        boolean claimedNotAlive = !leaving && claim.state() != MemberState.ALIVE;
        boolean otherProcess = !claim.process().equals(process) && claim.incarnation() > 0;
        boolean outranked = claim.incarnation() >= incarnation;
        if (!outranked || !claimedNotAlive && !otherProcess) {
            return false;
        }
        incarnation = claim.incarnation() + 1;
        return true;
    }
}
