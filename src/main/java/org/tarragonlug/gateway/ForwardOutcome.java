package org.tarragonlug.gateway;

import java.util.Locale;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.FailureReason;
import org.tarragonlug.decision.forwarding.RefusalReason;

/**
 * How a forwarded request ended for its caller.
 *
 * @param label name of the outcome in log lines and metrics
 * @param status HTTP status that the caller got; 0 if it got none
 * @param ground on what the statement rests that the request has not run; empty if the status makes
 *     no such statement
 */
record ForwardOutcome(String label, int status, Optional<NotRunGround> ground) {
    private static final String ANSWERED = "answered";
    private static final int NO_STATUS = 0;

    /** Returns the outcome of a request that got its server's answer. */
    static ForwardOutcome answered(int status) {
        return new ForwardOutcome(ANSWERED, status, Optional.empty());
    }

    /** Returns the outcome of a request whose caller has closed its connection. */
    static ForwardOutcome callerGone() {
        return new ForwardOutcome("caller_gone", NO_STATUS, Optional.empty());
    }

    /**
     * Returns the outcome of a request that was refused.
     *
     * @param ground on what the refusal rests; left out if its status promises nothing
     */
    static ForwardOutcome refused(RefusalReason reason, NotRunGround ground) {
        return new ForwardOutcome(
                labelOf(reason),
                reason.status(),
                reason.promisesNotRun() ? Optional.of(ground) : Optional.empty());
    }

    /** Returns the outcome of a request that may have run and got no complete answer. */
    static ForwardOutcome failed(FailureReason reason) {
        return new ForwardOutcome("failed_" + lowerCase(reason), reason.status(), Optional.empty());
    }

    /** Returns the name of the outcome of requests that are refused for a reason. */
    static String labelOf(RefusalReason reason) {
        return "refused_" + lowerCase(reason);
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the caller got the answer of a server. */
    boolean isAnswered() {
        return label.equals(ANSWERED);
    }
}
