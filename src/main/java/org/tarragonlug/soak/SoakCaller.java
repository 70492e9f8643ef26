package org.tarragonlug.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import org.tarragonlug.id.RequestId;

/**
 * A caller with one connection, which it uses until the gateway is gone. After an answer that
 * promises that its request was not run, it comes back under a new id, as the answer asks.
 */
final class SoakCaller {
    private static final int MOST_ATTEMPTS = 3;
    private static final int LONGEST_PAUSE_MILLIS = 60;
    private static final int UNREACHABLE_PAUSE_MILLIS = 20;
    private static final int LARGE_BODY_PERCENT = 5;
    private static final int LARGE_BODY_BYTES = 30_000;
    private static final int SMALL_BODY_BYTES = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    /** How long a caller waits beyond its deadline, to see how late an answer comes. */
    private static final long WAIT_BEYOND_DEADLINE_MILLIS = 6000;

    private final String name;
    private final List<SoakGateway> gateways;
    private final SoakChecker checker;
    private final SoakTally tally;
    private final Random random;
    private CallerConnection connection;
    private SoakGateway gateway;
    private int works;

    /**
     * Creates a caller.
     *
     * @param name beginning of the ids of its requests
     * @param gateways the gateways that it may use
     * @param checker receives what it sees
     * @param tally counts outcomes
     * @param random numbers for its choices
     */
    SoakCaller(
            String name,
            List<SoakGateway> gateways,
            SoakChecker checker,
            SoakTally tally,
            Random random) {
        this.name = name;
        this.gateways = gateways;
        this.checker = checker;
        this.tally = tally;
        this.random = random;
    }

    /** Sends a request of any kind, with its further attempts. */
    void work() throws InterruptedException {
        RequestKind[] kinds = RequestKind.values();
        work(kinds[random.nextInt(kinds.length)]);
        Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS));
    }

    /** Returns whether a request of a kind, with its further attempts, is served. */
    boolean work(RequestKind kind) throws InterruptedException {
        works++;
        long end = SoakClock.millis() + kind.deadlineMillis();
        for (int attempt = 1; attempt <= MOST_ATTEMPTS; attempt++) {
            RequestId id = new RequestId(name + "-" + works + "-" + attempt);
            CallerAnswer refusal = attempt(id, kind);
            if (refusal == null || !SoakChecker.isRefusal(refusal.status())) {
                return refusal != null && refusal.status() / 100 == 2 && refusal.complete();
            }
            disconnect();
            if (!pauseBeforeReturn(refusal, end)) {
                return false;
            }
        }
        return false;
    }

    /** Waits as a refusal asks; returns false if it asks for more than a third of the time left. */
    private boolean pauseBeforeReturn(CallerAnswer refusal, long endMillis)
            throws InterruptedException {
        String text = refusal.headers().getOrDefault("retry-after", "0");
        long pause = (long) (Double.parseDouble(text) * MILLIS_PER_SECOND);
        if (pause > (endMillis - SoakClock.millis()) / 3) {
            return false;
        }
        Thread.sleep(pause);
        return true;
    }

    /** Sends one request; returns its answer, or null if there is none. */
    private CallerAnswer attempt(RequestId id, RequestKind kind) throws InterruptedException {
        if (!connect()) {
            tally.count(SoakTally.Outcome.UNREACHABLE);
            Thread.sleep(UNREACHABLE_PAUSE_MILLIS);
            return null;
        }
        checker.onSent(id, kind, gateway.number());
        long sent = SoakClock.millis();
        CallerAnswer answer = null;
        SoakTally.Outcome outcome;
        try {
            if (connection.unaskedBytes() > 0) {
                checker.report(Check.OWN_ANSWER, id, "an answer came before the request");
            }
            connection.send(id, kind, bodyBytes());
            answer = connection.receive(kind.deadlineMillis() + WAIT_BEYOND_DEADLINE_MILLIS);
            checker.onAnswer(id, answer);
            outcome = outcome(answer);
        } catch (SocketTimeoutException silent) {
            outcome = SoakTally.Outcome.TIMEOUT;
        } catch (IOException closed) {
            outcome = SoakTally.Outcome.CLOSED;
        }
        checker.onEnded(id, sent, SoakClock.millis());
        tally.count(outcome);
        if (answer == null || !answer.complete() || isLast(answer)) {
            disconnect();
        }
        return answer;
    }

    private int bodyBytes() {
        boolean large = SoakRandom.percent(random, LARGE_BODY_PERCENT);
        return random.nextInt(large ? LARGE_BODY_BYTES : SMALL_BODY_BYTES);
    }

    private static boolean isLast(CallerAnswer answer) {
        return answer.headers().getOrDefault("connection", "").equalsIgnoreCase("close");
    }

    private static SoakTally.Outcome outcome(CallerAnswer answer) {
        if (!answer.complete()) {
            return SoakTally.Outcome.BROKEN_OFF;
        }
        if (SoakChecker.isRefusal(answer.status())) {
            return SoakTally.Outcome.REFUSED;
        }
        return answer.status() / 100 == 2 ? SoakTally.Outcome.SUCCESS : SoakTally.Outcome.FAILED;
    }

    private boolean connect() {
        if (connection != null) {
            return true;
        }
        gateway = gateways.get(random.nextInt(gateways.size()));
        try {
            connection = new CallerConnection(gateway.callerAddress());
            return true;
        } catch (IOException unreachable) {
            // The process is being replaced.
            return false;
        }
    }

    /** Closes the connection. */
    void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException alreadyClosed) {
            // Nothing is left to be closed.
        }
        connection = null;
    }
}
