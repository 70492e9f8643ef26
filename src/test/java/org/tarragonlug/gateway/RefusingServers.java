package org.tarragonlug.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two backend servers of one service that refuse the first send of each request, send the refusal
 * once more, and run what is sent again. They record what they run and which connections they were
 * asked on. The first server can have several ids.
 */
final class RefusingServers {
    /** Time for which a server runs a request beyond the delay of copies. */
    private static final int RUN_MILLIS = 15;

    private static final long STEP_MILLIS = 3;
    private static final long LONGEST_STALL_MILLIS = 5000;
    private static final int EVENTS = 3;

    /** Time that passes before a server reads the body of a request that it has refused. */
    private static final long BODY_PAUSE_MILLIS = 20;

    /** Time after which a server that lacked a model holds it. */
    private static final long LOAD_MILLIS = 50;

    private static final String OTHER_SERVICE_ID = "other-service-";

    /**
     * A run of a request.
     *
     * @param id id of the request
     * @param server server and connection
     * @param beganNanos when the server began it
     * @param endedNanos when the server ended it or noticed that its connection was closed
     */
    record Run(String id, String server, long beganNanos, long endedNanos) {}

    /** What a connection still has to send. */
    private static final class Connection {
        private String restOfCopy = "";
        private String copyBehindAnswer = "";

        synchronized String takeRest() {
            String taken = restOfCopy;
            restOfCopy = "";
            return taken;
        }

        synchronized String takeCopyBehind() {
            String taken = copyBehindAnswer;
            copyBehindAnswer = "";
            return taken;
        }
    }

    private final String service;
    private final List<String> models;
    private final ScriptedServer first;
    private final ScriptedServer second;
    private final ExecutorService workers =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "refusing-server");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();
    private final Map<String, Connection> connections = new ConcurrentHashMap<>();
    private final Set<String> connectionsWithoutRequests = ConcurrentHashMap.newKeySet();
    private final Collection<Run> runs = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> begins = new ConcurrentHashMap<>();
    private final Collection<String> repeatedOnConnection = new ConcurrentLinkedQueue<>();
    private final Set<String> idsByConnection = ConcurrentHashMap.newKeySet();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private final Phaser work = new Phaser(1);
    private volatile SendAgainWay way = SendAgainWay.FULL;
    private volatile RefusalCopy copy = RefusalCopy.AFTER_3_MILLIS;
    private volatile boolean streams;
    private volatile List<String> listed = List.of();
    private int listings;

    RefusingServers(GatewayFixture fixture, String service, List<String> models) {
        this.service = service;
        this.models = models;
        first = fixture.startScripted(service + "-0", service, models, script("first"));
        second = fixture.startScripted(service + "-second", service, models, script("second"));
        first.setReservingSlots(!models.isEmpty());
        second.setReservingSlots(!models.isEmpty());
    }

    private ScriptedServer.Script script(String server) {
        return new ScriptedServer.Script() {
            @Override
            public ScriptedServer.Answer answer(
                    ScriptedServer.Request request, int number, int onConnection) {
                if (request.id().isEmpty()) {
                    // An order, a report, or a question about the server itself.
                    connectionsWithoutRequests.add(server + request.connection());
                    String unknown = ScriptedServer.answer(500, "", "", "");
                    return new ScriptedServer.Answer(unknown, ScriptedServer.End.CLOSE);
                }
                serve(server, request, step(server, request));
                return new ScriptedServer.Answer("", ScriptedServer.End.KEEP);
            }

            @Override
            public boolean answerHead(ScriptedServer.Request head) {
                if (!copy.isBeforeBody() || head.id().isEmpty()) {
                    return false;
                }
                int sentBefore = sends.getOrDefault(head.id(), new AtomicInteger()).get();
                if (way.stepOfSend(sentBefore + 1) != SendAgainWay.Step.REFUSE) {
                    return false;
                }
                serve(server, head, step(server, head));
                sleep(BODY_PAUSE_MILLIS);
                return true;
            }
        };
    }

    /** Chooses how the next requests are refused, and lists the servers under new ids. */
    synchronized void prepare(
            SendAgainWay nextWay, RefusalCopy nextCopy, boolean areStreams, boolean secondListed) {
        way = nextWay;
        copy = nextCopy;
        streams = areStreams;
        List<String> before = listed;
        listings++;
        String id = service + "-" + listings;
        if (nextWay.isAlone()) {
            listed = List.of(id + "a");
        } else {
            listed = List.of(id + "a", id + "b");
        }
        listed.forEach(each -> first.list(each, service, models));
        before.forEach(first::unlist);
        first.unlist(service + "-0");
        if (secondListed && !nextWay.isAlone()) {
            second.list(service + "-second", service, models);
        } else {
            second.unlist(service + "-second");
        }
        first.unlist(OTHER_SERVICE_ID + service + (listings - 1));
        if (nextWay == SendAgainWay.ADDRESS_OF_OTHER_SERVICE) {
            first.list(OTHER_SERVICE_ID + service + listings, otherService(), List.of());
        }
    }

    /** Returns the name of the service that can use the address of the first server. */
    String otherService() {
        return "other-" + service;
    }

    private synchronized void listAgain() {
        if (way == SendAgainWay.RESTARTED_WITH_SAME_ID) {
            listings++;
            listed.forEach(each -> first.list(each, service, models, listings));
        } else if (way == SendAgainWay.RESTARTED_WITH_NEW_ID) {
            List<String> before = listed;
            listings++;
            listed = List.of(service + "-" + listings + "a", service + "-" + listings + "b");
            listed.forEach(each -> first.list(each, service, models));
            before.forEach(first::unlist);
        }
    }

    private SendAgainWay.Step step(String server, ScriptedServer.Request request) {
        int send =
                sends.computeIfAbsent(request.id(), each -> new AtomicInteger()).incrementAndGet();
        if (!idsByConnection.add(server + request.connection() + " " + request.id())) {
            repeatedOnConnection.add(request.id());
        }
        if (way == SendAgainWay.ADDRESS_OF_OTHER_SERVICE) {
            boolean meant =
                    server.equals("second")
                            || request.expectedServer().startsWith(OTHER_SERVICE_ID);
            return meant ? SendAgainWay.Step.RUN : SendAgainWay.Step.REFUSE;
        }
        return way.stepOfSend(send);
    }

    private void serve(String server, ScriptedServer.Request request, SendAgainWay.Step step) {
        String place = server + request.connection();
        Connection connection = connections.computeIfAbsent(place, each -> new Connection());
        request.sender().send(connection.takeRest());
        if (step == SendAgainWay.Step.REFUSE) {
            refuse(connection, request);
            return;
        }
        begins.computeIfAbsent(request.id(), each -> new AtomicInteger()).incrementAndGet();
        long began = System.nanoTime();
        work.register();
        workers.execute(
                () -> {
                    try {
                        run(connection, request, step);
                    } finally {
                        runs.add(new Run(request.id(), place, began, System.nanoTime()));
                        work.arriveAndDeregister();
                    }
                });
    }

    private void refuse(Connection connection, ScriptedServer.Request request) {
        String refusal = way.refusal(request);
        RefusalCopy shape = copy;
        int number = refusals.incrementAndGet();
        listAgain();
        request.sender().send(refusal);
        if (shape.isBehindNextAnswer()) {
            synchronized (connection) {
                connection.copyBehindAnswer += refusal;
            }
            return;
        }
        work.register();
        workers.execute(
                () -> {
                    sleep(shape.delayMillis(number));
                    int length = shape.firstPartLength(refusal, number);
                    synchronized (request.sender()) {
                        if (request.sender().isOpen()) {
                            copies.incrementAndGet();
                            request.sender().send(refusal.substring(0, length));
                            synchronized (connection) {
                                connection.restOfCopy = refusal.substring(length);
                            }
                        }
                    }
                    work.arriveAndDeregister();
                });
    }

    private void run(
            Connection connection, ScriptedServer.Request request, SendAgainWay.Step step) {
        ScriptedServer.Sender sender = request.sender();
        boolean stalls = step == SendAgainWay.Step.STALL;
        long millis = stalls ? LONGEST_STALL_MILLIS : copy.millis() + RUN_MILLIS;
        long end = System.nanoTime() + millis * 1_000_000;
        while (sender.isOpen() && System.nanoTime() < end) {
            sleep(STEP_MILLIS);
        }
        if (step == SendAgainWay.Step.BREAK || stalls) {
            sender.reset();
        } else if (sender.isOpen()) {
            synchronized (sender) {
                sender.send(connection.takeRest());
                sendAnswer(connection, request);
            }
        }
    }

    private void sendAnswer(Connection connection, ScriptedServer.Request request) {
        ScriptedServer.Sender sender = request.sender();
        if (!streams || request.line().contains("/other-")) {
            String answer = ScriptedServer.success(request.id(), request.id());
            sender.send(answer + connection.takeCopyBehind());
            return;
        }
        int last = request.lastEventId().isEmpty() ? 0 : Integer.parseInt(request.lastEventId());
        String whole = ScriptedServer.success(request.id(), events(request.id(), last));
        int head = whole.indexOf("\r\n\r\n") + 4;
        int cut = Math.min(whole.length(), head + event(request.id(), last + 1).length());
        sender.send(whole.substring(0, cut));
        sleep(STEP_MILLIS);
        sender.send(whole.substring(cut) + connection.takeCopyBehind());
    }

    /** Returns the events after the given one that belong to a request. */
    static String events(String id, int last) {
        StringBuilder events = new StringBuilder();
        for (int number = last + 1; number <= EVENTS; number++) {
            events.append(event(id, number));
        }
        return events.toString();
    }

    private static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "\n\n";
    }

    /** Waits until no request is being run and no copy is due. */
    void awaitIdle() {
        work.arriveAndAwaitAdvance();
    }

    /** Returns how often servers have begun to run a request. */
    int begins(String id) {
        return Optional.ofNullable(begins.get(id)).map(AtomicInteger::get).orElse(0);
    }

    /** Returns how often a request was received. */
    int sends(String id) {
        return Optional.ofNullable(sends.get(id)).map(AtomicInteger::get).orElse(0);
    }

    /** Returns the runs that have ended. */
    Collection<Run> runs() {
        return runs;
    }

    /** Returns the ids of requests that came more than once on one connection. */
    Collection<String> repeatedOnConnection() {
        return repeatedOnConnection;
    }

    /** Returns the number of copies that were sent, at least in part. */
    int copies() {
        return copies.get();
    }

    /** Returns the number of connections opened, except for those with orders and reports. */
    int connections() {
        return first.acceptedConnections()
                + second.acceptedConnections()
                - connectionsWithoutRequests.size();
    }

    /** Returns the number of connections on which requests came. */
    int usedConnections() {
        return connections.size();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
