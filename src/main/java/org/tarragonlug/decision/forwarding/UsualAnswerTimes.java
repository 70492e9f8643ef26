package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServiceName;

/**
 * The usual time until servers begin to answer, by service and route. It is the geometric mean of
 * recent answers of servers that are not limited, because a few long prompts would dominate an
 * arithmetic mean.
 */
final class UsualAnswerTimes {
    /** Weight of a new answer once enough have been seen. */
    private static final double MIN_WEIGHT = 0.1;

    /** Number of answers without which there is nothing to compare with. */
    private static final int MIN_ANSWERS = 5;

    /** The clock has a resolution of a millisecond; shorter times count as this. */
    private static final double MIN_MILLIS = 1;

    private record Kind(ServiceName service, RouteName route) {}

    /** Of the logarithms of the times in milliseconds. */
    private final Map<Kind, RunningMean> means = new HashMap<>();

    /** Records the time in which a server that is not limited began to answer. */
    void record(ServiceName service, RouteName route, Duration time) {
        means.computeIfAbsent(new Kind(service, route), each -> new RunningMean(MIN_WEIGHT))
                .add(logMillis(time));
    }

    /** Returns a time divided by the usual one; 1 if too few answers are known. */
    double relative(ServiceName service, RouteName route, Duration time) {
        RunningMean mean = means.get(new Kind(service, route));
        if (mean == null || mean.count() < MIN_ANSWERS) {
            return 1;
        }
        return Math.exp(logMillis(time) - mean.mean());
    }

    private static double logMillis(Duration time) {
        return Math.log(Math.max(MIN_MILLIS, time.toMillis()));
    }
}
