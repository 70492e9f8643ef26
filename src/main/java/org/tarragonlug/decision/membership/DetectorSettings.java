package org.tarragonlug.decision.membership;

import java.time.Duration;

/**
 * Times and limits of {@link RandomProbeDetector}.
 *
 * @param tick interval of {@link MembershipEvent.Tick} events
 * @param probePeriod length of a period, in which each member is probed about once
 * @param directTimeout time without an acknowledgement after which other members are asked to probe
 *     the target
 * @param probeTimeout time without an acknowledgement after which a probe has failed, including its
 *     indirect probes; at most the probe period
 * @param suspicionTime time in which a suspect can refute the suspicion before it is declared dead
 * @param indirectProbes number of members that are asked to probe a target that missed a probe
 * @param gossipFanout number of neighbours to which a new update is pushed at once
 * @param updateLimit maximum number of member updates in one message
 * @param deadProbePeriod minimum time between two probes of dead candidates, longer if there are
 *     many members; these probes merge the views after a partition
 * @param pauseLimit a gap between two ticks that is longer than this counts as a pause of this
 *     process
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
    /**
     * The default settings. The measurements behind them are in docs/measurements.md, section
     * Membership.
     */
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
