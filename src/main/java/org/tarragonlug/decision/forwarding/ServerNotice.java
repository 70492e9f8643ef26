package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * What a server says about itself with an answer.
 *
 * @param leaving whether the server is going to stop
 * @param pause how long the server wants no further requests from this instance; empty if it does
 *     not say so
 * @param faults what of it could not be taken as it was said
 */
public record ServerNotice(boolean leaving, Optional<Duration> pause, Set<NoticeFault> faults) {
    /** The notice of a server that says nothing about itself. */
    public static final ServerNotice NONE = new ServerNotice(false, Optional.empty());

    public ServerNotice {
        faults = Set.copyOf(faults);
    }

    /** Creates a notice without faults. */
    public ServerNotice(boolean leaving, Optional<Duration> pause) {
        this(leaving, pause, Set.of());
    }

    /** Returns this notice with further faults. */
    public ServerNotice withFaults(Set<NoticeFault> further) {
        if (further.isEmpty()) {
            return this;
        }
        Set<NoticeFault> all = EnumSet.copyOf(further);
        all.addAll(faults);
        return new ServerNotice(leaving, pause, all);
    }
}
