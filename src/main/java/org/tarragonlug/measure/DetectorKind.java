package org.tarragonlug.measure;

import java.util.random.RandomGenerator;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.DetectorSettings;
import org.tarragonlug.decision.membership.FailureDetector;
import org.tarragonlug.decision.membership.RandomProbeDetector;
import org.tarragonlug.id.ProcessId;

/** The failure detectors that the measurement compares. */
enum DetectorKind {
    /** The detector used in production. */
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
    /** The baseline in which every member sends heartbeats to all others. */
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
    /** The baseline of a ring with a leader that installs views. */
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
