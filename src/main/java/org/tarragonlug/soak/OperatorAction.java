package org.tarragonlug.soak;

/** An action of an operator around which no answer may be lost. */
enum OperatorAction {
    /** SIGTERM to a gateway. */
    TERMINATE,
    /** SIGHUP to a gateway. */
    HANG_UP,
    /** A change of the configuration, which concerns all gateways. */
    CONFIGURATION_CHANGE;

    /** Time in which a signal or a change of the configuration takes effect, in milliseconds. */
    private static final long APPLY_MILLIS = 2000;

    /** How long after that answers still count as ended because of it. */
    private static final long SLACK_MILLIS = 1000;

    /** Returns for how long after its begin requests may end because of it, in milliseconds. */
    long effectMillis(long graceMillis) {
        return SLACK_MILLIS + (this == TERMINATE ? graceMillis : APPLY_MILLIS);
    }
}
