package org.tarragonlug.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerId;

/** Records what callers observe in a simulated run. Histograms are in microseconds. */
public final class RequestRecorder implements RequestSimulationObserver {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram answers = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram refusals = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram tokenGaps = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<RequestId, Instant> arrivals = new HashMap<>();
    private final Map<RequestId, Duration> timeouts = new HashMap<>();
    private final Map<RequestId, Instant> lastTokens = new HashMap<>();
    private final Set<RequestId> unsent = new HashSet<>();
    private int answersInTime;
    private int maximumUnsent;
    private int crashes;

    @Override
    public void onRequestArrived(SimulatedRequest request, Instant now) {
        arrivals.put(request.id(), now);
        timeouts.put(request.id(), request.description().timeout().orElseThrow());
        unsent.add(request.id());
    }

    @Override
    public void onCommand(RequestCommand command, Instant now) {
        if (command instanceof RequestCommand.ForwardToken token) {
            Instant previous = lastTokens.put(token.request(), now);
            if (previous != null) {
                tokenGaps.recordValue(micros(previous, now));
            }
        } else if (command instanceof RequestCommand.SendGeneration send) {
            unsent.remove(send.request());
        } else if (command instanceof RequestCommand.CompleteAnswer complete) {
            long micros = micros(arrivals.get(complete.request()), now);
            answers.recordValue(micros);
            answersInTime += micros <= timeouts.get(complete.request()).toNanos() / 1_000 ? 1 : 0;
        } else if (command instanceof RequestCommand.Refuse refuse) {
            unsent.remove(refuse.request());
            refusals.recordValue(micros(arrivals.get(refuse.request()), now));
        }
        maximumUnsent = Math.max(maximumUnsent, unsent.size());
    }

    @Override
    public void onServerCrashed(ServerId server, Instant now) {
        crashes++;
    }

    /** Returns the times from arrival to the end of the answer. */
    public Histogram answers() {
        return answers;
    }

    /** Returns the times from arrival to a refusal. */
    public Histogram refusals() {
        return refusals;
    }

    /** Returns the times between consecutive tokens of an answer. */
    public Histogram tokenGaps() {
        return tokenGaps;
    }

    /** Returns the number of answers that were complete within the request's timeout. */
    public int answersInTime() {
        return answersInTime;
    }

    /** Returns the largest number of requests that at one time were neither sent nor refused. */
    public int maximumUnsent() {
        return maximumUnsent;
    }

    /** Returns the number of crashes of server processes. */
    public int crashes() {
        return crashes;
    }

    private static long micros(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / 1_000;
    }
}
