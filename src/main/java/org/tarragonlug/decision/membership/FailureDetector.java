package org.tarragonlug.decision.membership;

import org.tarragonlug.decision.StateMachine;

/**
 * Decides which members are alive. A wrong verdict moves ownership and costs time; no invariant
 * depends on it.
 */
public interface FailureDetector extends StateMachine<MembershipEvent, MembershipCommand> {
    /** Returns the live members as known now. */
    MemberView view();
}
