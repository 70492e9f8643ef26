package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tarragonlug.id.InstanceId;

/** The probes of one member that wait for an acknowledgement, by sequence number. */
final class RunningProbes {
    private final Duration directTimeout;
    private final Duration probeTimeout;
    private final TreeMap<Long, Probe> probes = new TreeMap<>();

    RunningProbes(DetectorSettings settings) {
        this.directTimeout = settings.directTimeout();
        this.probeTimeout = settings.probeTimeout();
    }

    void start(long sequence, InstanceId target, Instant now, boolean isPeriodic) {
        probes.put(sequence, new Probe(sequence, target, now, isPeriodic, false));
    }

    /** Removes a probe that was answered; empty if it is not running. */
    Optional<Probe> removeAcknowledged(long sequence) {
        return Optional.ofNullable(probes.remove(sequence));
    }

    boolean isPeriodicRunning() {
        return probes.values().stream().anyMatch(Probe::isPeriodic);
    }

    boolean isProbing(InstanceId target) {
        return probes.values().stream().anyMatch(probe -> probe.target().equals(target));
    }

    /** Returns the number of probes that did not start with a period. */
    long extraCount() {
        return probes.values().stream().filter(probe -> !probe.isPeriodic()).count();
    }

    /** Returns, once each, the probes for which helpers are due. */
    List<Probe> takeDueForIndirectProbes(Instant now) {
        Predicate<Probe> isDue =
                probe -> !probe.indirectProbesSent() && !now.isBefore(probe.sentAt().plus(directTimeout));
        List<Probe> due = probes.values().stream().filter(isDue).toList();
        due.forEach(probe -> probes.put(probe.sequence(), probe.withIndirectProbesSent()));
        return due;
    }

    /** Removes and returns the probes that got no acknowledgement in time. */
    List<Probe> takeExpired(Instant now) {
        List<Probe> expired = new ArrayList<>();
        for (Probe probe : probes.values()) {
            if (!now.isBefore(probe.sentAt().plus(probeTimeout))) {
                expired.add(probe);
            }
        }
        expired.forEach(probe -> probes.remove(probe.sequence()));
        return expired;
    }

    void clear() {
        probes.clear();
    }

    /**
     * A probe without an acknowledgement so far.
     *
     * @param sequence its number
     * @param target the probed member
     * @param sentAt when it was sent
     * @param isPeriodic whether it is the probe of a period; others follow from a miss
     * @param indirectProbesSent whether other members were asked to probe
     */
    record Probe(
            long sequence,
            InstanceId target,
            Instant sentAt,
            boolean isPeriodic,
            boolean indirectProbesSent) {
        Probe withIndirectProbesSent() {
            return new Probe(sequence, target, sentAt, isPeriodic, true);
        }
    }
}
