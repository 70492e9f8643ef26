package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.id.ModelKey;

/** One request of a simulated caller, over all its attempts. */
final class CallerRequest {
    /** Part of the value that does not depend on the length of the answer. */
    private static final double FIXED_VALUE_SHARE = 0.3;

    /** Length, as a multiple of the mean, beyond which the value of an answer does not grow. */
    private static final double LARGEST_SIZE = 4;

    final long number;
    final RequestProfile profile;
    final ModelKey model;
    final PromptPrefix prefix;
    final int ownTokens;
    final int events;
    final int domain;
    final double size;
    final Instant arrivedAt;
    int attempts;

    /** Number of the last event that the caller has received; -1 for none. */
    int lastEvent = -1;

    Instant firstEventAt;
    Instant lastEventAt;
    Duration longestGap = Duration.ZERO;

    /** How long instances have held the request, over all attempts that have ended. */
    Duration held = Duration.ZERO;

    /** Whether the request was sent within its target to a server that holds its model. */
    boolean sentInTime;

    CallerRequest(
            long number,
            RequestProfile profile,
            ModelKey model,
            PromptPrefix prefix,
            int ownTokens,
            int events,
            int domain,
            Instant now) {
        this.number = number;
        this.profile = profile;
        this.model = model;
        this.prefix = prefix;
        this.ownTokens = ownTokens;
        this.events = events;
        this.domain = domain;
        this.size = events / profile.events();
        this.arrivedAt = now;
        this.lastEventAt = now;
    }

    void onEvent(int event, Instant now) {
        if (firstEventAt == null) {
            firstEventAt = now;
        } else {
            Duration gap = Duration.between(lastEventAt, now);
            longestGap = gap.compareTo(longestGap) > 0 ? gap : longestGap;
        }
        lastEvent = event;
        lastEventAt = now;
    }

    boolean inTarget() {
        return firstEventAt != null
                && Duration.between(arrivedAt, firstEventAt).compareTo(profile.target()) <= 0
                && longestGap.compareTo(profile.gapTarget()) <= 0;
    }

    /** Tells whether instances have held the request for longer than its target. */
    boolean heldPastTarget() {
        return held.compareTo(profile.target()) > 0;
    }

    /** Returns the value of an answer, which grows with its length up to a limit. */
    double value(double ofMeanLength) {
        double lengthShare = 1 - FIXED_VALUE_SHARE;
        return ofMeanLength * (FIXED_VALUE_SHARE + lengthShare * Math.min(LARGEST_SIZE, size));
    }
}
