package org.tarragonlug.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingLimits;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.ModelConnection;
import org.tarragonlug.http.SkippedAnswer;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.runtime.ManualTimers;

/**
 * One instance with its kept connections, one request and two servers, without a network. Decisions
 * are made by the real {@link ForwardingCoordinator}, answers are judged by the real {@link
 * ServerAttempt}, and {@link ModelConnection} stands for the HTTP client.
 */
final class ExploredWorld {
    static final String OLD = "old-id";
    static final String NEW = "new-id";
    static final String OTHER = "other-id";

    /** Time after which no request is kept from a server that rejected or lost it. */
    static final Duration RETRY_PAUSE = Duration.ofMillis(450);

    /** Time without progress after which any request counts as stalled. */
    static final Duration STALL = Duration.ofMillis(1300);

    /** Time from the announcement of a stop to the stop. */
    static final Duration UNTIL_STOP = Duration.ofMillis(500);

    /** Retries of a budget that no order uses up. */
    static final int MANY_RETRIES = 1000;

    private static final int REFUSED = 503;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    final ManualTimers timers = new ManualTimers();
    final List<ExploredCall> calls = new ArrayList<>();
    final List<ExploredRequest> requests = new ArrayList<>();
    final Map<ExploredEvent, Integer> happened = new EnumMap<>(ExploredEvent.class);
    final Set<ExploredFault> faults = new TreeSet<>();
    private final ExploredRequestKind kind;
    private final ExploredConfiguration configuration;
    private final ConnectionRule rule;
    private final ForwardingCoordinator coordinator;
    private final List<ModelConnection> pool = new ArrayList<>();
    private final Deque<ForwardingEvent> events = new ArrayDeque<>();
    private String presentAtSharedAddress;
    private Set<RequestTrait> quarantined = Set.of();
    private int lastPort;
    private boolean processing;

    /** Creates a world with retries in which a request has just arrived and was sent. */
    ExploredWorld(ExploredRequestKind kind, ExploredFleet fleet, ConnectionRule rule) {
        this(kind, fleet, rule, MANY_RETRIES);
    }

    /**
     * Creates a world in which a request has just arrived and was sent.
     *
     * @param retries number of retries that the budget allows
     */
    ExploredWorld(ExploredRequestKind kind, ExploredFleet fleet, ConnectionRule rule, int retries) {
        this.kind = kind;
        this.configuration = new ExploredConfiguration(kind);
        this.rule = rule;
        this.presentAtSharedAddress = fleet.present();
        this.coordinator =
                new ForwardingCoordinator(
                        new FailureDomain("home"),
                        fleet::preference,
                        new ForwardingLimits(Duration.ofSeconds(10), 0.2, retries, 1));
        addConnection(ExploredConfiguration.SHARED_ADDRESS);
        addConnection(ExploredConfiguration.OTHER_ADDRESS);
        installRoute(true);
        fleet.listed().forEach(id -> list(id, ListedState.READY, 1));
        arrive("request-1");
    }

    /**
     * Lets the server of the request begin, with the first event if it is a stream, and then be
     * silent for longer than is usual.
     */
    ExploredWorld withSilentServer() {
        ExploredCall first = calls.get(0);
        connect(first, offered(first).get(0));
        begin(first);
        if (kind.isStream()) {
            startStream(first);
            sendStreamEvent(first);
        }
        timers.advance(STALL);
        post(new ForwardingEvent.Tick());
        return this;
    }

    /** Installs a configuration with or without the route of the request. */
    void installRoute(boolean present) {
        post(configuration.table(present));
    }

    void list(String id, ListedState state, long startedMillis) {
        post(configuration.listing(id, state, startedMillis));
    }

    /** Lets another server have the shared address; its connections stay. */
    void changeServer() {
        presentAtSharedAddress = presentAtSharedAddress.equals(OLD) ? NEW : OLD;
    }

    void arrive(String id) {
        ExploredRequest request = new ExploredRequest(requests.size() + 1, id, timers.now());
        requests.add(request);
        post(configuration.arrival(request));
    }

    /** Lets the caller leave, as {@link ForwardingDriver#onCallerDisconnected} does. */
    void leave() {
        ExploredRequest request = lastRequest();
        request.callerLeft = true;
        post(new ForwardingEvent.CallerDisconnected(request.key));
    }

    void beginQuarantine() {
        quarantined = ExploredConfiguration.traits();
        post(new ForwardingEvent.QuarantineChanged(quarantined));
    }

    void endQuarantine() {
        quarantined = Set.of();
        post(new ForwardingEvent.QuarantineChanged(quarantined));
    }

    void allowTrial() {
        quarantined.forEach(trait -> post(new ForwardingEvent.TrialAllowed(trait)));
    }

    boolean hasQuarantine() {
        return !quarantined.isEmpty();
    }

    ExploredRequest lastRequest() {
        return requests.get(requests.size() - 1);
    }

    ExploredRequestKind kind() {
        return kind;
    }

    ForwardingCoordinator coordinator() {
        return coordinator;
    }

    /** Handles an event after all that are queued, as {@link ForwardingDriver#post} does. */
    void post(ForwardingEvent event) {
        events.add(event);
        if (processing) {
            return;
        }
        processing = true;
        for (ForwardingEvent next = events.poll(); next != null; next = events.poll()) {
            coordinator.handle(next, timers.now()).forEach(this::execute);
        }
        processing = false;
        checkOpenCalls();
    }

    /** Checks that no send is open, and none is counted, for requests that have ended. */
    private void checkOpenCalls() {
        if (requests.stream().anyMatch(each -> !each.isOpen() && !openCalls(each).isEmpty())) {
            faults.add(ExploredFault.OPEN_AFTER_END);
        }
        boolean allEnded = requests.stream().noneMatch(ExploredRequest::isOpen);
        if (allEnded && !coordinator.fleet().inFlight().isEmpty()) {
            faults.add(ExploredFault.COUNTED_AFTER_END);
        }
    }

    private void execute(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.Send send) {
            send(send);
        } else if (command instanceof ForwardingCommand.RelayAnswer answer) {
            ExploredRequest request = request(answer.request());
            if (!request.answeringCall.isAnswered()) {
                faults.add(ExploredFault.FOREIGN_ANSWER);
            }
            end(request, !request.streamStarted && PROMISES.contains(request.answerStatus));
        } else if (command instanceof ForwardingCommand.Refuse refuse) {
            end(request(refuse.request()), PROMISES.contains(refuse.reason().status()));
        } else if (command instanceof ForwardingCommand.Fail fail) {
            end(request(fail.request()), false);
        } else if (command instanceof ForwardingCommand.CancelAttempt cancel) {
            ExploredCall call = call(cancel.attempt());
            call.receiver.cancel();
            call.close();
        }
    }

    private ExploredCall call(ForwardAttempt attempt) {
        return calls.stream()
                .filter(each -> each.attempt.equals(attempt))
                .findFirst()
                .orElseThrow();
    }

    private ExploredRequest request(long key) {
        return requests.get((int) key - 1);
    }

    private void send(ForwardingCommand.Send send) {
        ExploredRequest request = request(send.request());
        if (openCalls(request).size() >= kind.maximumRuns()) {
            faults.add(ExploredFault.AT_TWO_SERVERS);
        }
        boolean refused = request.refusedBy.contains(send.server());
        boolean newConnection = send.newConnection() || rule.needsNewConnection(refused);
        ExploredCall call = new ExploredCall(request, send, newConnection);
        call.receiver =
                new ServerAttempt(
                        request.id,
                        call.server,
                        send.streaming(),
                        send.lastEventId(),
                        new ExploredAttemptListener(this, call),
                        timers);
        calls.add(call);
    }

    private List<ExploredCall> openCalls(ExploredRequest request) {
        return calls.stream().filter(call -> call.request == request && call.open).toList();
    }

    /** Checks that of a request's sends only one is open whose server has begun to answer it. */
    void checkAnsweringCalls() {
        for (ExploredRequest request : requests) {
            long answering =
                    openCalls(request).stream().filter(call -> call.answerAccepted).count();
            if (answering > 1) {
                faults.add(ExploredFault.ANSWERED_BY_TWO);
            }
        }
    }

    /** Hands an event of a stream to the caller. */
    void deliver(ExploredRequest request, long id) {
        if (request.ends > 0 || request.lastEventId >= 0 && id != request.lastEventId + 1) {
            faults.add(ExploredFault.EVENT_OUT_OF_ORDER);
        }
        request.lastEventId = id;
    }

    private void end(ExploredRequest request, boolean promise) {
        request.ends++;
        if (request.ends > 1 || request.callerLeft) {
            faults.add(ExploredFault.ENDED_TWICE);
        }
        if (promise) {
            request.promised = true;
        }
        checkRuns(request);
    }

    private void checkRuns(ExploredRequest request) {
        if (request.promised && request.begins > 0) {
            faults.add(ExploredFault.BEGUN_THOUGH_PROMISED);
        }
        int runs =
                requests.stream()
                        .filter(each -> each.id.equals(request.id))
                        .mapToInt(each -> each.begins)
                        .sum();
        boolean returned = requests.size() > 1 && kind.maximumRuns() > 1;
        if (runs > kind.maximumRuns() && !returned) {
            faults.add(ExploredFault.BEGUN_TOO_OFTEN);
        }
    }

    /** Checks that requests have ended whose time is over; called after a tick. */
    void checkEnds() {
        for (ExploredRequest request : requests) {
            boolean late =
                    !timers.now().isBefore(request.arrivedAt.plus(ExploredConfiguration.TIMEOUT));
            if (request.isOpen() && late) {
                faults.add(ExploredFault.NOT_ENDED);
            }
        }
    }

    private ModelConnection addConnection(String address) {
        lastPort++;
        ModelConnection added = new ModelConnection(address, lastPort);
        pool.add(added);
        return added;
    }

    /** Returns the kept connections that may be offered to a call. */
    List<ModelConnection> offered(ExploredCall call) {
        return call.newConnectionOnly
                ? List.of()
                : pool.stream()
                        .filter(each -> each.isIdle() && each.address().equals(call.address))
                        .toList();
    }

    void connect(ExploredCall call) {
        if (!call.newConnectionOnly) {
            connect(call, addConnection(call.address));
            return;
        }
        lastPort++;
        connect(call, new ModelConnection(call.address, lastPort));
    }

    /** Sends a call on a connection, as {@link org.tarragonlug.http.HttpExchange} does. */
    void connect(ExploredCall call, ModelConnection connection) {
        if (!rule.mayCarry(connection, call.request.name)) {
            call.newConnectionOnly = true;
            call.moved = true;
        } else if (!call.receiver.maySend()) {
            fail(call, HttpFailure.Kind.WITHDRAWN);
        } else {
            call.connection = connection;
            int earlierCalls = connection.begin(call.request.name);
            call.atServer = ExploredCall.AtServer.UNREAD;
            call.receiver.onSent(new CallPosition(connection.port(), earlierCalls, call.moved));
        }
    }

    void failToConnect(ExploredCall call) {
        fail(call, call.moved ? HttpFailure.Kind.NO_OTHER_CONNECTION : HttpFailure.Kind.NOT_SENT);
    }

    /** Ends a call at this instance without a complete answer. */
    void fail(ExploredCall call, HttpFailure.Kind failure) {
        if (call.open) {
            call.close();
            call.receiver.onFailed(new HttpFailure(failure, "explored", null));
        }
    }

    /** Returns whether the server that the call is meant for is the one at its address. */
    boolean reachesItsServer(ExploredCall call) {
        return call.server.equals(presentAt(call));
    }

    private String presentAt(ExploredCall call) {
        return call.address.equals(ExploredConfiguration.SHARED_ADDRESS)
                ? presentAtSharedAddress
                : OTHER;
    }

    void begin(ExploredCall call) {
        call.atServer = ExploredCall.AtServer.RUNNING;
        call.request.begins++;
        checkRuns(call.request);
    }

    void refuse(ExploredCall call, int status, Map<String, String> notice) {
        Map<String, String> headers = new TreeMap<>(notice);
        headers.put("tarragonlug-request-id", call.request.id);
        headers.put("tarragonlug-not-executed", "1");
        headers.put("tarragonlug-instance-id", presentAt(call));
        answer(call, status, headers);
    }

    void answerWithSeal(ExploredCall call, int status) {
        answer(
                call,
                status,
                Map.of(
                        "tarragonlug-request-id",
                        call.request.id,
                        "tarragonlug-response-seal",
                        "seal"));
    }

    void answerWithoutSeal(ExploredCall call) {
        answer(call, REFUSED, Map.of("tarragonlug-request-id", call.request.id));
    }

    private void answer(ExploredCall call, int status, Map<String, String> headers) {
        startAnswer(call, status, headers);
        finishAnswer(call);
    }

    void startStream(ExploredCall call) {
        startAnswer(
                call,
                200,
                Map.of(
                        "tarragonlug-request-id",
                        call.request.id,
                        "tarragonlug-response-seal",
                        "seal"));
    }

    private void startAnswer(ExploredCall call, int status, Map<String, String> headers) {
        call.sentStatus = status;
        call.sentHeaders = headers;
        if (call.connection.hasPartOfHead()) {
            fail(call, HttpFailure.Kind.ANSWER_INVALID);
        } else {
            receiveHead(call, status, headers);
        }
    }

    void sendStreamEvent(ExploredCall call) {
        String event = "id: " + call.nextEventId + "\ndata: x\n\n";
        call.nextEventId++;
        call.receiver.onData(event.getBytes(StandardCharsets.UTF_8));
    }

    void finishAnswer(ExploredCall call) {
        call.atServer = ExploredCall.AtServer.ENDED;
        complete(call);
    }

    private void complete(ExploredCall call) {
        if (!call.open) {
            return;
        }
        call.open = false;
        call.connection.end();
        if (call.newConnectionOnly) {
            call.connection.close();
        }
        call.receiver.onCompleted();
    }

    /** Sends the last answer on the connection of a call once more. */
    void copyAnswer(ExploredCall answered) {
        ModelConnection connection = answered.connection;
        Optional<ExploredCall> current =
                calls.stream().filter(call -> call.open && call.connection == connection).findAny();
        if (current.isEmpty()) {
            connection.receive(answered.sentStatus, answered.sentHeaders);
        } else if (receiveHead(current.get(), answered.sentStatus, answered.sentHeaders)) {
            complete(current.get());
        }
    }

    /** Receives a head on the connection of a call; returns whether it counts as its answer. */
    private boolean receiveHead(ExploredCall call, int status, Map<String, String> headers) {
        switch (call.connection.receive(status, headers)) {
            case SKIPPED -> call.receiver.onAnswerSkipped(new SkippedAnswer("", status, 0));
            case CLOSES -> fail(call, HttpFailure.Kind.ANSWER_INVALID);
            default -> {
                call.headReceived = true;
                call.receiver.onHead(status, headers);
                return true;
            }
        }
        return false;
    }

    /** Returns whether the copy of a call's answer may arrive before any other answer. */
    boolean mayCopy(ExploredCall answered) {
        if (!answered.isAnswered() || !answered.connection.isOpen()) {
            return false;
        }
        return calls.stream()
                .filter(call -> call.connection == answered.connection && call != answered)
                .noneMatch(
                        call -> call.headReceived && calls.indexOf(call) > calls.indexOf(answered));
    }
}
