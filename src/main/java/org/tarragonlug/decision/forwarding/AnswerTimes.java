package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.tarragonlug.id.ServiceName;

/**
 * The usual answer times of each service, with which the answers of its servers are compared.
 *
 * <p>Larger models work more slowly on the same server. Answers are therefore compared with those
 * of models of about the same size. Sizes rather than single models are compared, because an
 * instance sees too few requests for a rare model to know its usual time. Logarithms are averaged,
 * so that a few very long answers do not determine the usual time.
 */
final class AnswerTimes {
    /** Size classes per doubling of the size; models of one class differ by 19% at most. */
    private static final double CLASSES_PER_DOUBLING = 4;

    /** Weight of a new answer once enough have been seen. */
    private static final double MIN_WEIGHT = 0.005;

    /** Answers of a kind before a server is compared with them. */
    private static final int MIN_ANSWERS = 16;

    private record Kind(ServiceName service, int sizeClass) {}

    /** Of the logarithms of the times. */
    private final Map<Kind, RunningMean> usual = new HashMap<>();

    /**
     * Records how long a server took, and compares it with the other answers of its kind.
     *
     * @param server the server
     * @param megabytes size of the model; 0 for a plain service
     * @param millis time of the answer, or of a part of it that is comparable between answers; must
     *     be positive
     */
    void record(FleetServer server, double megabytes, double millis, Instant now) {
        RunningMean reference =
                usual.computeIfAbsent(
                        new Kind(server.service(), sizeClass(megabytes)),
                        each -> new RunningMean(MIN_WEIGHT));
        double difference = reference.add(Math.log(millis));
        if (reference.count() > MIN_ANSWERS) {
            server.pace().recordAnswer(difference, Math.sqrt(reference.variance()), now);
        }
    }

    private static int sizeClass(double megabytes) {
        return megabytes <= 1
                ? 0
                : (int) Math.floor(CLASSES_PER_DOUBLING * Math.log(megabytes) / Math.log(2));
    }
}
