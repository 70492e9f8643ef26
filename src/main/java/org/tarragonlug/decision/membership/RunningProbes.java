package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tarragonlug.id.InstanceId;

/** The probes sent by this process that wait for an acknowledgement, by sequence number. */
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

    /** Removes and returns the acknowledged probe; empty if it is no longer running. */
    Optional<Probe> removeAcknowledged(long sequence) {
        return Optional.ofNullable(probes.remove(sequence));
    }

    boolean isPeriodicRunning() {
        return probes.values().stream().anyMatch(Probe::isPeriodic);
    }

    boolean isProbing(InstanceId target) {
        return probes.values().stream().anyMatch(probe -> probe.target().equals(target));
    }

    /** Returns the number of running probes that are not the regular probe of a period. */
    long extraCount() {
        return probes.values().stream().filter(probe -> !probe.isPeriodic()).count();
    }

    /** Returns the probes whose indirect probes are due; each probe is returned only once. */
    List<Probe> takeDueForIndirectProbes(Instant now) {
        Predicate<Probe> isDue =
                probe ->
                        !probe.indirectProbesSent()
                                && !now.isBefore(probe.sentAt().plus(directTimeout));
        List<Probe> due = probes.values().stream().filter(isDue).toList();
        due.forEach(probe -> probes.put(probe.sequence(), probe.withIndirectProbesSent()));
        return due;
    }

    /** Removes and returns the probes that were not acknowledged in time. */
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
     * A probe that has not been acknowledged yet.
     *
     * @param sequence number of the probe
     * @param target the probed member
     * @param sentAt time at which the probe was sent
     * @param isPeriodic whether this is the regular probe of a period; other probes are sent after
     *     a missed probe in the same failure domain
     * @param indirectProbesSent whether other members were asked to probe the target
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
