package org.tarragonlug.measure;

import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.DetectorSettings;
import org.tarragonlug.decision.membership.FailureDetector;
import org.tarragonlug.decision.membership.RandomProbeDetector;
import org.tarragonlug.id.ProcessId;

/** The failure detectors that are compared. */
enum DetectorKind {
    /** The detector in use. */
    RANDOM_PROBE("random probing") {
        @Override
        FailureDetector create(
                Candidate self,
                ProcessId process,
                long incarnation,
                Hasher hasher,
                RandomGenerator random) {
            return new RandomProbeDetector(
                    self, process, incarnation, DetectorSettings.DEFAULT, hasher, random);
        }
    },
    /** Heartbeats from all to all. */
    HEARTBEAT_ALL("heartbeats to all") {
        @Override
        FailureDetector create(
                Candidate self,
                ProcessId process,
                long incarnation,
                Hasher hasher,
                RandomGenerator random) {
            return new HeartbeatAllDetector(self, process, incarnation);
        }
    },
    /** The ring with a leader. */
    RING("ring with leader") {
        @Override
        FailureDetector create(
                Candidate self,
                ProcessId process,
                long incarnation,
                Hasher hasher,
                RandomGenerator random) {
            return new RingDetector(self, process, incarnation);
        }
    };

    private final String text;

    DetectorKind(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }

    abstract FailureDetector create(
            Candidate self,
            ProcessId process,
            long incarnation,
            Hasher hasher,
            RandomGenerator random);
}
