package org.tarragonlug.decision.membership;

import org.tarragonlug.decision.StateMachine;

/**
 * Decides which members are alive. A wrong decision moves ownership and costs time, but no
 * invariant depends on the decision.
 */
public interface FailureDetector extends StateMachine<MembershipEvent, MembershipCommand> {
    /** Returns the current view of the live members. */
    MemberView view();
}
