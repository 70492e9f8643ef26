package org.tarragonlug.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.trial.GatewayChild;

/**
 * A gateway whose process is replaced by a new one whenever it has ended. Its methods are called by
 * one thread, except for {@link #callerAddress} and {@link #number}.
 */
final class SoakGateway implements AutoCloseable {
    private static final int LONGEST_DOWN_MILLIS = 800;

    /** Time between SIGTERM and SIGKILL; more than a gateway takes to drain. */
    private static final long GRACE_MILLIS = 10_000;

    private final int number;
    private final SoakSettings settings;
    private final GatewaySettings gatewaySettings;
    private final SoakChecker checker;
    private final Random random;
    private final List<GatewayChild> processes = new ArrayList<>();
    private boolean signalled;
    private boolean paused;
    private boolean terminatesNext;
    private long nextRunMillis;
    private long terminateMillis = Long.MAX_VALUE;
    private long killMillis = Long.MAX_VALUE;
    private long startMillis = Long.MAX_VALUE;

    /**
     * Starts the first process.
     *
     * @param number number of the gateway
     * @param settings how processes are started
     * @param gatewaySettings settings of all its processes
     * @param checker receives pauses, and ends without a signal
     * @param random numbers for the time between two processes
     */
    SoakGateway(
            int number,
            SoakSettings settings,
            GatewaySettings gatewaySettings,
            SoakChecker checker,
            Random random)
            throws IOException {
        this.number = number;
        this.settings = settings;
        this.gatewaySettings = gatewaySettings;
        this.checker = checker;
        this.random = random;
        start();
    }

    private void start() throws IOException {
        signalled = false;
        paused = false;
        killMillis = Long.MAX_VALUE;
        startMillis = Long.MAX_VALUE;
        terminateMillis = terminatesNext ? SoakClock.millis() + nextRunMillis : Long.MAX_VALUE;
        terminatesNext = false;
        checker.onStarted(number, SoakClock.millis());
        processes.add(new GatewayChild(settings.directory(), settings.command(), gatewaySettings));
    }

    int number() {
        return number;
    }

    InetSocketAddress callerAddress() {
        return gatewaySettings.callerAddress();
    }

    private GatewayChild process() {
        return processes.get(processes.size() - 1);
    }

    void awaitReady() throws IOException, InterruptedException {
        process().awaitReady();
    }

    /** Asks the process to end, and kills it if it has not ended in time. */
    void terminate() {
        signalled = true;
        checker.onOperatorAction(OperatorAction.TERMINATE, number, SoakClock.millis());
        process().terminate();
        killMillis = Math.min(killMillis, SoakClock.millis() + GRACE_MILLIS);
    }

    /**
     * Asks the process that follows to end soon after it was started.
     *
     * @param runMillis time between its start and the signal
     */
    void terminateNext(long runMillis) {
        terminatesNext = true;
        nextRunMillis = runMillis;
    }

    /** Lets the process that follows run. */
    void keepNext() {
        terminatesNext = false;
        terminateMillis = Long.MAX_VALUE;
    }

    /** Tells the process that its settings may have changed, if it has started. */
    void hangUp() {
        if (process().hasLogged("event=instance_started ")) {
            checker.onOperatorAction(OperatorAction.HANG_UP, number, SoakClock.millis());
            process().hangUp();
        }
    }

    void kill() {
        signalled = true;
        checker.onKilled(number, SoakClock.millis());
        process().kill();
    }

    void pause() {
        if (!paused && process().pause()) {
            paused = true;
            checker.onPaused(number, SoakClock.millis());
        }
    }

    void resume() {
        if (paused) {
            paused = false;
            process().resume();
            checker.onResumed(number, SoakClock.millis());
        }
    }

    /** Starts a new process some time after the last one has ended. */
    void keepRunning() throws IOException {
        long now = SoakClock.millis();
        if (process().isAlive()) {
            if (now > terminateMillis) {
                terminateMillis = Long.MAX_VALUE;
                terminate();
            }
            if (now > killMillis) {
                kill();
            }
            return;
        }
        if (paused) {
            paused = false;
            checker.onResumed(number, now);
        }
        if (!signalled) {
            signalled = true;
            String text = "gateway " + number + " has ended by itself" + process().problems();
            checker.report(Check.GATEWAY_LIVES, Finding.NO_REQUEST, text);
        }
        if (startMillis == Long.MAX_VALUE) {
            startMillis = now + random.nextInt(LONGEST_DOWN_MILLIS);
        }
        if (now >= startMillis) {
            start();
        }
    }

    /** Returns the number of processes so far. */
    int processCount() {
        return processes.size();
    }

    /** Returns the lines of the present process that tell of problems. */
    String problems() throws IOException {
        return process().problems();
    }

    /** Returns the lines of all its processes that contain a text. */
    List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (GatewayChild process : processes) {
            lines.addAll(process.linesWith(text));
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        for (GatewayChild process : processes) {
            process.close();
        }
    }
}
