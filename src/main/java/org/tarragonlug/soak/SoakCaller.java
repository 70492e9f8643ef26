package org.tarragonlug.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.tarragonlug.id.RequestId;

/**
 * A caller with one connection, which it uses until the gateway is gone. After an answer that
 * promises that its request was not run, it comes back on a new connection when the answer says,
 * under a new id or with the same one.
 */
final class SoakCaller {
    private static final int UNREACHABLE_PAUSE_MILLIS = 20;
    private static final int SMALL_BODY_BYTES = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    /** From how many of the newest versions routes are drawn; more than a version has. */
    private static final int LATEST_VERSIONS = 5;

    private static final int TOO_MANY_REQUESTS = 429;

    /** How long a caller waits beyond its deadline, to see how late an answer comes. */
    private static final long WAIT_BEYOND_DEADLINE_MILLIS = 6000;

    private final String name;
    private final List<SoakGateway> gateways;
    private final SoakChecker checker;
    private final SoakTally tally;
    private final Random random;
    private final SoakShape shape;
    private final Optional<String> key;
    private final ConfigurationChanges configuration;
    private CallerConnection connection;
    private SoakGateway gateway;
    private boolean returnsToSameGateway;
    private int works;

    /**
     * Creates a caller.
     *
     * @param name beginning of the ids of its requests
     * @param gateways the gateways that it may use
     * @param shape what it sends and how it comes back
     * @param key key of its client account; empty if it has none
     * @param configuration tells which routes versions have added
     * @param checker receives what it sees
     * @param tally counts outcomes
     * @param random numbers for its choices
     */
    SoakCaller(
            String name,
            List<SoakGateway> gateways,
            SoakShape shape,
            Optional<String> key,
            ConfigurationChanges configuration,
            SoakChecker checker,
            SoakTally tally,
            Random random) {
        this.name = name;
        this.gateways = gateways;
        this.shape = shape;
        this.key = key;
        this.configuration = configuration;
        this.checker = checker;
        this.tally = tally;
        this.random = random;
    }

    /** Sends a request of any kind, with its further attempts. */
    void work() throws InterruptedException {
        work(shape.callers().draw(random));
        Thread.sleep(random.nextInt(shape.callers().longestPauseMillis()));
    }

    /** Returns whether a request of a kind, with its further attempts, is served. */
    boolean work(RequestKind kind) throws InterruptedException {
        works++;
        long end = SoakClock.millis() + kind.deadlineMillis();
        ReturnShape returns = shape.callers().returns();
        boolean sameId = SoakRandom.percent(random, returns.sameIdPercent());
        CallerRequest request = drawRequest(kind);
        for (int attempt = 0; attempt <= returns.most(); attempt++) {
            int number = sameId ? 0 : attempt;
            RequestId id = new RequestId(name + "-" + works + "-" + (number + 1));
            if (attempt > 0) {
                count(sameId);
            }
            CallerAnswer refusal = attempt(id, request);
            if (refusal == null || !SoakChecker.isRefusal(refusal.status())) {
                return refusal != null && refusal.status() / 100 == 2 && refusal.complete();
            }
            disconnect();
            if (!pauseBeforeReturn(refusal, end)) {
                return false;
            }
            returnsToSameGateway = SoakRandom.percent(random, returns.sameGatewayPercent());
        }
        return false;
    }

    private void count(boolean sameId) {
        (sameId ? tally.returnsWithSameId : tally.returnsWithNewId).incrementAndGet();
    }

    private CallerRequest drawRequest(RequestKind kind) {
        String model = SoakShape.model(1 + random.nextInt(shape.models()));
        int adapter = random.nextInt(1 + shape.adapters());
        List<String> adapters = shape.adapterNames();
        String name = adapter == 0 ? model : model + "/" + adapters.get(adapter - 1);
        return new CallerRequest(kind, drawVersion(kind), name, bodyBytes(), key);
    }

    /** Draws the version of a route, of those that the newest version has or has dropped. */
    private int drawVersion(RequestKind kind) {
        int newest = configuration.version();
        if (kind != RequestKind.ADDED) {
            return newest;
        }
        boolean isNewest = random.nextBoolean();
        return isNewest ? newest : Math.max(1, newest - random.nextInt(LATEST_VERSIONS));
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
    private CallerAnswer attempt(RequestId id, CallerRequest request) throws InterruptedException {
        if (!connect()) {
            tally.count(SoakTally.Outcome.UNREACHABLE);
            Thread.sleep(UNREACHABLE_PAUSE_MILLIS);
            return null;
        }
        RequestKind kind = request.kind();
        long sent = SoakClock.millis();
        checker.onSent(id, kind, request.version(), gateway.number(), sent);
        CallerAnswer answer = null;
        SoakTally.Outcome outcome;
        try {
            if (connection.unaskedBytes() > 0) {
                checker.report(Check.OWN_ANSWER, id, "an answer came before the request");
            }
            connection.send(id, request);
            answer = connection.receive(kind.deadlineMillis() + WAIT_BEYOND_DEADLINE_MILLIS);
            checker.onAnswer(id, answer, SoakClock.millis());
            outcome = outcome(answer);
            if (answer.status() == TOO_MANY_REQUESTS) {
                tally.refusalsWith429.incrementAndGet();
            }
        } catch (SocketTimeoutException silent) {
            outcome = SoakTally.Outcome.TIMEOUT;
        } catch (IOException closed) {
            outcome = SoakTally.Outcome.CLOSED;
        }
        long ended = SoakClock.millis();
        checker.onEnded(id, sent, ended);
        if (outcome == SoakTally.Outcome.CLOSED || outcome == SoakTally.Outcome.BROKEN_OFF) {
            checker.onUnanswered(id, sent, ended);
        }
        tally.count(outcome);
        if (answer == null || !answer.complete() || isLast(answer)) {
            disconnect();
        }
        return answer;
    }

    private int bodyBytes() {
        PressureShape pressure = shape.pressure();
        boolean large = SoakRandom.percent(random, pressure.largeBodyPercent());
        return random.nextInt(large ? pressure.largestBodyBytes() : SMALL_BODY_BYTES);
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
        if (gateway == null || !returnsToSameGateway) {
            gateway = gateways.get(random.nextInt(gateways.size()));
        }
        returnsToSameGateway = false;
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
