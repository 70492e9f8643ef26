package org.tarragonlug.decision.membership;

import java.time.Duration;

/**
 * Times and sizes of the random probing detector.
 *
 * @param tick how often it is told that time passed
 * @param probePeriod time between two probes of one member
 * @param directTimeout how long a probe may go unanswered before others are asked to probe
 * @param probeTimeout how long a probe and its indirect probes may go unanswered altogether; at
 *     most the period
 * @param suspicionTime how long a suspect may refute before it is declared dead
 * @param indirectProbes how many members are asked to probe on a miss
 * @param gossipFanout how many neighbours get a new change at once
 * @param updateLimit most member changes in one message
 * @param deadProbePeriod time between two probes of dead candidates, which heal a partition
 * @param pauseLimit a longer time between two ticks counts as a pause of the own process
 */
public record DetectorSettings(
        Duration tick,
        Duration probePeriod,
        Duration directTimeout,
        Duration probeTimeout,
        Duration suspicionTime,
        int indirectProbes,
        int gossipFanout,
        int updateLimit,
        Duration deadProbePeriod,
        Duration pauseLimit) {
    /** Chosen by measurement, see docs/measurements.md, section Membership. */
    public static final DetectorSettings DEFAULT =
            new DetectorSettings(
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(300),
                    Duration.ofMillis(800),
                    Duration.ofSeconds(2),
                    3,
                    4,
                    48,
                    Duration.ofSeconds(5),
                    Duration.ofMillis(600));
}
