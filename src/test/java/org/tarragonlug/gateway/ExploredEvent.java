package org.tarragonlug.gateway;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.SlotRefusal;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.id.ServerId;

/** What may happen next, and when. Events of calls may happen to any call that they fit. */
enum ExploredEvent {
    KEPT_CONNECTION_READY(
            (world, call) -> call.isConnecting() && !world.offered(call).isEmpty(),
            (world, call) -> world.connect(call, world.offered(call).get(0))),
    OTHER_KEPT_CONNECTION_READY(
            (world, call) -> call.isConnecting() && world.offered(call).size() > 1,
            (world, call) -> world.connect(call, world.offered(call).get(1))),
    NEW_CONNECTION_READY(
            (world, call) -> call.isConnecting() && world.offered(call).isEmpty(),
            ExploredWorld::connect),
    CONNECTION_FAILS(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.isConnecting(),
            ExploredWorld::failToConnect),
    /** The kept connection has been closed before anything was written. */
    NOTHING_WRITTEN(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.open && call.isUnread(),
            (world, call) -> {
                call.atServer = ExploredCall.AtServer.ENDED;
                world.fail(call, HttpFailure.Kind.NOT_SENT);
            }),
    /** The server closes the connection and does not read the request. */
    CLOSED_UNREAD(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.open && call.isUnread(),
            (world, call) -> {
                call.atServer = ExploredCall.AtServer.ENDED;
                world.fail(call, HttpFailure.Kind.CONNECTION_LOST);
            }),
    /** Also after this instance has closed the connection: the server may have read before. */
    BEGINS((world, call) -> call.isUnread() && world.reachesItsServer(call), ExploredWorld::begin),
    REFUSES_AS_FULL(
            (world, call) -> call.open && call.isUnread() && world.reachesItsServer(call),
            (world, call) -> world.refuse(call, 503, Map.of())),
    REFUSES_AS_OTHER_SERVER(
            (world, call) -> call.open && call.isUnread() && !world.reachesItsServer(call),
            (world, call) -> world.refuse(call, 421, Map.of())),
    REFUSES_WITHOUT_MODEL(
            (world, call) ->
                    world.kind().needsModel()
                            && call.open
                            && call.isUnread()
                            && world.reachesItsServer(call),
            (world, call) -> world.refuse(call, 421, Map.of())),
    REFUSES_AND_WANTS_PAUSE(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.open && call.isUnread() && world.reachesItsServer(call),
            (world, call) -> world.refuse(call, 503, Map.of("retry-after", "1"))),
    REFUSES_AND_LEAVES(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.open && call.isUnread() && world.reachesItsServer(call),
            (world, call) -> world.refuse(call, 503, Map.of("server-leaving", "1"))),
    SUCCEEDS(
            (world, call) -> call.isRunning() && !world.kind().isStream(),
            (world, call) -> world.answerWithSeal(call, 200)),
    STREAM_STARTS(
            (world, call) -> call.isRunning() && !call.headReceived && world.kind().isStream(),
            ExploredWorld::startStream),
    STREAM_GOES_ON(
            Group.COURSE,
            2,
            (world, call) -> call.isRunning() && call.headReceived,
            ExploredWorld::sendStreamEvent),
    STREAM_COMPLETES(
            (world, call) -> call.isRunning() && call.headReceived, ExploredWorld::finishAnswer),
    FAILS(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.isRunning() && !call.headReceived,
            (world, call) -> world.answerWithSeal(call, 500)),
    /** A status that promises "not run", without the server's statement or seal. */
    FAILS_AS_IF_REFUSED(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.isRunning() && !call.headReceived,
            ExploredWorld::answerWithoutSeal),
    /** The same status with the seal of the server, which has run the request. */
    FAILS_AS_IF_REFUSED_WITH_SEAL(
            Group.DISTURBANCE,
            1,
            (world, call) -> call.isRunning() && !call.headReceived,
            (world, call) -> world.answerWithSeal(call, 503)),
    BREAKS_OFF(
            Group.DISTURBANCE,
            2,
            (world, call) -> call.isRunning(),
            (world, call) -> {
                call.atServer = ExploredCall.AtServer.ENDED;
                world.fail(call, HttpFailure.Kind.CONNECTION_LOST);
            }),
    /** The HTTP library says that nothing was written, and the server has the request. */
    WRITTEN_AFTER_ALL(
            Group.BROKEN_ASSUMPTION,
            1,
            (world, call) -> call.open && call.isUnread(),
            (world, call) -> world.fail(call, HttpFailure.Kind.NOT_SENT)),
    COPY_ARRIVES(Group.COPY, 1, ExploredWorld::mayCopy, ExploredWorld::copyAnswer),
    COPY_BEGINS_TO_ARRIVE(
            Group.COPY,
            1,
            ExploredWorld::mayCopy,
            (world, call) -> call.connection.receivePartOfHead()),
    REST_OF_COPY_ARRIVES(
            Group.COURSE,
            1,
            (world, call) -> world.mayCopy(call) && call.connection.hasPartOfHead(),
            ExploredWorld::copyAnswer),
    COPY_COMES_WITH_NEXT_ANSWER(
            Group.COPY,
            1,
            (world, call) -> call.open && call.isUnread(),
            (world, call) -> call.connection.receiveBytesAfterAnswer()),
    OTHER_SERVER_AT_ADDRESS(Group.DISTURBANCE, 1, ExploredWorld::changeServer),
    NEW_ID_LISTED(
            Group.DISTURBANCE, 1, world -> world.list(ExploredWorld.NEW, ListedState.READY, 1)),
    OLD_ID_UNLISTED(
            Group.DISTURBANCE,
            1,
            world ->
                    world.post(
                            new ForwardingEvent.ServerUnlisted(new ServerId(ExploredWorld.OLD)))),
    OLD_ID_LEAVES(
            Group.DISTURBANCE, 1, world -> world.list(ExploredWorld.OLD, ListedState.LEAVING, 1)),
    OLD_ID_RESTARTED(
            Group.DISTURBANCE, 1, world -> world.list(ExploredWorld.OLD, ListedState.READY, 2)),
    OTHER_ID_UNLISTED(
            Group.DISTURBANCE,
            1,
            world ->
                    world.post(
                            new ForwardingEvent.ServerUnlisted(new ServerId(ExploredWorld.OTHER)))),
    ROUTE_REMOVED(Group.DISTURBANCE, 1, world -> world.installRoute(false)),
    STOP_SCHEDULED(
            Group.DISTURBANCE,
            1,
            world ->
                    world.post(
                            new ForwardingEvent.StopScheduled(
                                    world.timers.now().plus(ExploredWorld.UNTIL_STOP)))),
    QUEUE_CLOSED(Group.DISTURBANCE, 1, world -> world.post(new ForwardingEvent.QueueClosed())),
    /** Requests like this one crash servers, so it must reach no further one. */
    QUARANTINE_BEGINS(Group.DISTURBANCE, 1, ExploredWorld::beginQuarantine),
    QUARANTINE_ENDS(
            Group.DISTURBANCE, 1, ExploredWorld::hasQuarantine, ExploredWorld::endQuarantine),
    /** The request may reach one server, to find out whether it still crashes it. */
    TRIAL_ALLOWED(Group.DISTURBANCE, 1, ExploredWorld::hasQuarantine, ExploredWorld::allowTrial),
    /** A server reserves the slot that it was asked for. */
    SLOT_RESERVED(
            Group.COURSE,
            ExploredEvent.Limit.NONE,
            ExploredWorld::hasRequestedSlot,
            ExploredWorld::reserveSlot),
    SLOT_NOT_RESERVED(
            Group.COURSE,
            ExploredEvent.Limit.NONE,
            ExploredWorld::hasRequestedSlot,
            world -> world.refuseSlot(SlotRefusal.NO_ROOM)),
    SLOTS_NOT_SUPPORTED(
            Group.COURSE,
            ExploredEvent.Limit.NONE,
            ExploredWorld::hasRequestedSlot,
            world -> world.refuseSlot(SlotRefusal.NOT_SUPPORTED)),
    CALLER_LEAVES(
            Group.DISTURBANCE, 1, world -> world.lastRequest().isOpen(), ExploredWorld::leave),
    /** Callers return with the id that was refused only after they were told "not run". */
    CALLER_RETURNS(
            Group.RETURN,
            1,
            world -> world.lastRequest().promised,
            world -> world.arrive(world.lastRequest().id)),
    CALLER_RETURNS_WITH_NEW_ID(
            Group.RETURN,
            1,
            world -> world.lastRequest().promised,
            world -> world.arrive("request-2")),
    /** Another caller's request may take connections that this one has left, and the reverse. */
    OTHER_CALLER_ARRIVES(
            Group.OTHER_CALLER,
            1,
            world -> world.requests.size() == 1,
            world -> world.arrive("request-2")),
    TICK(
            Group.COURSE,
            ExploredEvent.Limit.NONE,
            world -> {
                world.post(new ForwardingEvent.Tick());
                world.checkEnds();
            }),
    /** Time passes without a tick, as when the process stands still. */
    RETRY_PAUSE_PASSES(Group.COURSE, 2, world -> world.timers.advance(ExploredWorld.RETRY_PAUSE)),
    STALL_TIMEOUT_PASSES(Group.DISTURBANCE, 1, world -> world.timers.advance(ExploredWorld.STALL)),
    DEADLINE_PASSES(
            Group.DISTURBANCE, 1, world -> world.timers.advance(ExploredConfiguration.TIMEOUT));

    /** Events that share a limit on how many of them happen in one order. */
    enum Group {
        /** What connections, servers and timers do in the ordinary course. */
        COURSE(Limit.NONE),
        /** A server sends an answer once more. */
        COPY(1),
        /** The caller sends the request once more. */
        RETURN(1),
        /** A request of another caller arrives. */
        OTHER_CALLER(1),
        /** Faults, changes of servers and of the configuration, pauses of the process. */
        DISTURBANCE(Limit.NONE),
        /** What servers and libraries never do, as the instance assumes. */
        BROKEN_ASSUMPTION(1);

        private final int limit;

        Group(int limit) {
            this.limit = limit;
        }

        /** Returns whether one more event of the group may happen. */
        private boolean mayHappen(ExploredWorld world) {
            int happened = 0;
            for (Map.Entry<ExploredEvent, Integer> each : world.happened.entrySet()) {
                happened += each.getKey().group == this ? each.getValue() : 0;
            }
            return happened < limit;
        }
    }

    private static final class Limit {
        private static final int NONE = Integer.MAX_VALUE;
    }

    private final Group group;
    private final int limit;
    private final boolean ofCall;
    private final BiPredicate<ExploredWorld, ExploredCall> condition;
    private final BiConsumer<ExploredWorld, ExploredCall> action;

    ExploredEvent(
            BiPredicate<ExploredWorld, ExploredCall> condition,
            BiConsumer<ExploredWorld, ExploredCall> action) {
        this(Group.COURSE, Limit.NONE, true, condition, action);
    }

    ExploredEvent(
            Group group,
            int limit,
            BiPredicate<ExploredWorld, ExploredCall> condition,
            BiConsumer<ExploredWorld, ExploredCall> action) {
        this(group, limit, true, condition, action);
    }

    ExploredEvent(Group group, int limit, Consumer<ExploredWorld> action) {
        this(group, limit, world -> true, action);
    }

    ExploredEvent(
            Group group,
            int limit,
            Predicate<ExploredWorld> condition,
            Consumer<ExploredWorld> action) {
        this(
                group,
                limit,
                false,
                (world, call) -> condition.test(world),
                (world, call) -> action.accept(world));
    }

    ExploredEvent(
            Group group,
            int limit,
            boolean ofCall,
            BiPredicate<ExploredWorld, ExploredCall> condition,
            BiConsumer<ExploredWorld, ExploredCall> action) {
        this.group = group;
        this.limit = limit;
        this.ofCall = ofCall;
        this.condition = condition;
        this.action = action;
    }

    boolean breaksAssumption() {
        return group == Group.BROKEN_ASSUMPTION;
    }

    boolean isOfOtherCaller() {
        return group == Group.OTHER_CALLER;
    }

    /** Returns whether a server copies an answer or a caller returns. */
    boolean repeats() {
        return group == Group.COPY || group == Group.RETURN;
    }

    boolean isOrdinary() {
        return group == Group.COURSE;
    }

    /** Returns the numbers of the calls to which the event may happen now; 0 if to none. */
    IntStream calls(ExploredWorld world) {
        if (world.happened.getOrDefault(this, 0) >= limit || !group.mayHappen(world)) {
            return IntStream.empty();
        }
        return IntStream.range(0, ofCall ? world.calls.size() : 1)
                .filter(call -> condition.test(world, ofCall ? world.calls.get(call) : null));
    }

    void happen(ExploredWorld world, int call) {
        if (limit < Limit.NONE) {
            world.happened.merge(this, 1, Integer::sum);
        }
        action.accept(world, ofCall ? world.calls.get(call) : null);
    }
}
