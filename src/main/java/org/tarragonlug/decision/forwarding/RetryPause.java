package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;

/** How long a request is kept from servers after one of them failed or rejected it. */
final class RetryPause {
    /**
     * How long a request whose connection broke is kept from the same server. When a server
     * crashes, its other connections break a moment after the first.
     */
    private static final Duration SAME_SERVER = Duration.ofMillis(400);

    /**
     * How long a request is kept from all servers if its own one was lost just after it had begun
     * to answer. Such a request may have crashed the server, and the time suffices to find out what
     * it has in common with others that did.
     */
    private static final Duration SUSPECT = Duration.ofMillis(350);

    /** How long a request that a full server rejected is kept from the same server. */
    private static final Duration FULL_SERVER = Duration.ofMillis(150);

    private RetryPause() {}

    /**
     * Sets the pause of a request that a second server rejected while the first one is silent. It
     * grows, so that a request that stays at a silent server does not ask all others at once.
     */
    static void afterRejectedBackup(PendingForward forward, Instant now) {
        Duration pause = FULL_SERVER.multipliedBy(forward.rejections + 1);
        forward.backupAllowedAt = now.plus(pause);
    }

    /** Sets the pause of a request for which another server has reserved no slot; it grows. */
    static void afterRefusedSlot(PendingForward forward, Instant now) {
        Duration pause = FULL_SERVER.multipliedBy(forward.refusedSlots);
        forward.backupAllowedAt = now.plus(pause);
    }

    /** Sets the pauses of a request whose connection broke. */
    static void afterBrokenConnection(
            PendingForward forward, AnswerProgress progress, Instant now) {
        forward.sameServerAllowedAt = now.plus(SAME_SERVER);
        if (progress == AnswerProgress.HEAD) {
            forward.sendAllowedAt = now.plus(SUSPECT);
        }
    }

    /**
     * Sets the pause of a request that a full server rejected. A begun stream tries again until its
     * caller leaves, so its pauses grow.
     */
    static void afterFullServer(PendingForward forward, Instant now) {
        int pauses = forward.streamStarted ? forward.rejections + 1 : 1;
        forward.sameServerAllowedAt = now.plus(FULL_SERVER.multipliedBy(pauses));
    }
}
