package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tarragonlug.runtime.Json;

/** One start of a backend server, from its start to its end, on plain sockets. */
final class SoakServer implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final int CONFLICT = 409;
    private static final int STANDSTILL_STEP_MILLIS = 5;
    private static final int SERVERS_PER_ONE_WITHOUT_SLOTS = 4;
    private static final int REFUSED_SLOT_PERCENT = 40;

    final String id;
    final String service;
    final ServerListing listing;
    final SoakChecker checker;
    final ServerCounts counts;
    final ScheduledExecutorService timers;
    final AtomicInteger running = new AtomicInteger();

    /** What it holds, if it takes orders. */
    final Optional<EngineHoldings> holdings;

    private final long bornMillis = System.currentTimeMillis();

    private final ServerSocket listener;
    private final Random random;
    private final int refusedPercent;
    private final PressureShape pressure;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean sound;
    private volatile boolean leaving;
    private volatile boolean answersSayLeaving = true;
    private volatile boolean closed;
    private volatile long closedMillis;
    private volatile long pausedUntilMillis;
    private volatile long standsStillUntilMillis;

    /**
     * Starts a server.
     *
     * @param id id of this start
     * @param listing what it says of itself
     * @param refusedPercent share of the requests that it refuses although it could run them
     * @param pressure how often and how long it works long
     * @param random numbers for its faults
     * @param checker receives what it runs
     * @param counts receives what it does
     * @param timers sends copies of answers
     * @throws IOException if the port can't be bound
     */
    SoakServer(
            String id,
            ServerListing listing,
            int refusedPercent,
            PressureShape pressure,
            Random random,
            SoakChecker checker,
            ServerCounts counts,
            ScheduledExecutorService timers)
            throws IOException {
        this.id = id;
        this.listing = listing;
        this.service = listing.service();
        this.refusedPercent = refusedPercent;
        this.pressure = pressure;
        this.random = random;
        this.checker = checker;
        this.counts = counts;
        this.timers = timers;
        holdings =
                listing.takesOrders()
                        ? Optional.of(new EngineHoldings(listing.modelNames()))
                        : Optional.empty();
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listing.port()), BACKLOG);
        counts.starts.incrementAndGet();
        startThread("soak-server", this::accept);
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                awaitMoving();
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread("soak-server-connection", () -> serve(socket));
            } catch (IOException ended) {
                return;
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void serve(Socket socket) {
        if (closed) {
            reset(socket);
            return;
        }
        try (socket) {
            new ServerConnection(this, socket).serve();
        } catch (IOException ended) {
            // The gateway has closed the connection, or this server has ended.
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    /** Closes a connection so that its peer sees a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException alreadyClosed) {
            return;
        }
    }

    /** Returns how to treat the next request. */
    Treatment nextTreatment(boolean misdirected) {
        synchronized (random) {
            if (sound) {
                return Treatment.sound();
            }
            Treatment drawn = Treatment.draw(random, service, refusedPercent, pressure);
            return misdirected ? drawn.asRefusal(random) : drawn;
        }
    }

    /** Answers a call that asks for a slot. One of four servers does not know such calls. */
    SlotAnswer reserveSlot() {
        SlotAnswer answer = drawSlotAnswer();
        counts.slots(answer).incrementAndGet();
        return answer;
    }

    private SlotAnswer drawSlotAnswer() {
        if (Math.floorMod(id.hashCode(), SERVERS_PER_ONE_WITHOUT_SLOTS) == 0) {
            return SlotAnswer.UNKNOWN_CALL;
        }
        if (running.get() >= listing.slots()) {
            return SlotAnswer.NO_ROOM;
        }
        synchronized (random) {
            boolean refused = !sound && SoakRandom.percent(random, REFUSED_SLOT_PERCENT);
            return refused ? SlotAnswer.NO_ROOM : SlotAnswer.RESERVED;
        }
    }

    /** Ends all faults of the server. */
    void setSound() {
        sound = true;
        pausedUntilMillis = 0;
        standsStillUntilMillis = 0;
    }

    /** Accepts no connection and reads no request for some time, like a process that is paused. */
    void standStill(long millis) {
        standsStillUntilMillis = SoakClock.millis() + millis;
        WaitingConnections waiting = WaitingConnections.open(listing.port(), 2 * BACKLOG);
        timers.schedule(waiting::close, millis, TimeUnit.MILLISECONDS);
    }

    /** Waits while the server stands still. */
    void awaitMoving() throws InterruptedException {
        while (!closed && SoakClock.millis() < standsStillUntilMillis) {
            Thread.sleep(STANDSTILL_STEP_MILLIS);
        }
    }

    /** Lets the server go on if it stands still. */
    void endStandstill() {
        standsStillUntilMillis = 0;
    }

    /** Returns the models that it holds now, as entries and reports list them. */
    ArrayNode models() {
        return holdings.map(EngineHoldings::models).orElseGet(listing::models);
    }

    /** Returns whether it takes orders and a model, if one is named, is not there. */
    boolean lacks(String model) {
        return !model.isEmpty() && holdings.filter(held -> !held.holds(model)).isPresent();
    }

    /** Carries out an order if this server takes orders; returns the status of the answer. */
    int carryOut(byte[] body) throws IOException {
        if (holdings.isEmpty()) {
            // The models are there from the start, so that no order is due.
            return CONFLICT;
        }
        JsonNode order = Json.read(body);
        String holder = order.path("holder").asText();
        checker.onOrder(id, holder, order.path("fence").asLong(), SoakClock.millis());
        return holdings.get().carryOut(order);
    }

    /** Returns its entry in the store. */
    ObjectNode entry() {
        return listing.entry(leaving ? "draining" : "ready", bornMillis, models());
    }

    /** Returns the entry of this server in the store as one that does not leave. */
    ObjectNode readyEntry() {
        return listing.entry("ready", bornMillis, models());
    }

    /** Lets the server say that it leaves, in the store and in all answers. */
    void setLeaving() {
        leaving = true;
    }

    /** Lets the server say nothing of its leaving in its answers, as servers once did. */
    void sayLeavingOnlyInStore() {
        answersSayLeaving = false;
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns when it was closed, if it was. */
    long closedMillis() {
        return closedMillis;
    }

    /** Returns whether all answers say that it leaves. */
    boolean doAnswersSayLeaving() {
        return leaving && answersSayLeaving;
    }

    /** Refuses all requests for some time, at least. */
    void pause(long millis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, SoakClock.millis() + millis);
    }

    /** Returns for how long requests are still refused; 0 if they are not. */
    long pauseMillis() {
        return Math.max(0, pausedUntilMillis - SoakClock.millis());
    }

    /** Ends the server as a crash does: all connections are reset. */
    @Override
    public void close() {
        closedMillis = SoakClock.millis();
        closed = true;
        try {
            listener.close();
        } catch (IOException alreadyClosed) {
            // Its connections are reset all the same.
        }
        sockets.forEach(SoakServer::reset);
    }
}
