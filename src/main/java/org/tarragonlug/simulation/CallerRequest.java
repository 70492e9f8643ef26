package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.id.ModelKey;

/** One request of a simulated caller, over all its attempts. */
final class CallerRequest {
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

    /** Whether a server that could run the request received it within the target time. */
    boolean offeredInTime;

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

    /** Returns the worth of the request, which grows with the length of its answer. */
    double worth(double base) {
        return base * (0.3 + 0.7 * Math.min(4, size));
    }
}
