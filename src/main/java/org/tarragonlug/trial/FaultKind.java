package org.tarragonlug.trial;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.InstanceListStandIn;
import org.tarragonlug.standin.ObjectApiStandIn;
import org.tarragonlug.standin.OutageKind;
import org.tarragonlug.standin.PlainServiceStandIn;

/** Kinds of injected faults. Each constant defines how the fault starts and ends. */
enum FaultKind {
    /** The object API answers every call with status 503. */
    OBJECT_API_REFUSING(context -> startOutage(context, OutageKind.REFUSING)),
    /** The object API closes the connection of every call. */
    OBJECT_API_DISCONNECTING(context -> startOutage(context, OutageKind.DISCONNECTING)),
    /** The object API never answers. */
    OBJECT_API_SILENT(context -> startOutage(context, OutageKind.SILENT)),
    /** The object API delays each answer by 500 ms. */
    OBJECT_API_SLOW(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.setDelay(Duration.ofMillis(500));
                return () -> api.setDelay(Duration.ZERO);
            }),
    /** Writes to the object API take effect, but the answers to the next few of them are lost. */
    OBJECT_API_LOSING_ANSWERS(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.loseAnswersOfNextWrites(2 + context.random().nextInt(6));
                return () -> api.loseAnswersOfNextWrites(0);
            }),
    /** The object API answers reads with the content from before the last change. */
    OBJECT_API_STALE_READS(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.setStaleReads(true);
                return () -> api.setStaleReads(false);
            }),
    /** The object API stops answering on its open connections; new connections work. */
    OBJECT_API_CONNECTIONS_SILENT(
            context -> {
                context.platform().objectApi().silenceOpenConnections();
                return () -> {};
            }),
    /** The instance list shows changes one to four seconds late. */
    INSTANCE_LIST_LAGGING(
            context -> {
                InstanceListStandIn list = context.platform().instanceList();
                list.startLagging(Duration.ofSeconds(1 + context.random().nextInt(4)));
                return () -> list.setLag(Duration.ZERO);
            }),
    /** The instance list answers with status 503. */
    INSTANCE_LIST_DOWN(
            context -> {
                context.platform().instanceList().setOutage(true);
                return () -> context.platform().instanceList().setOutage(false);
            }),
    /** Loads from the weight store take 2 to 21 times as long. */
    WEIGHT_STORE_SLOW(
            context -> {
                context.platform().weightStore().setSlowness(2 + context.random().nextInt(20));
                return () -> context.platform().weightStore().setSlowness(1);
            }),
    /** The next two loads of each engine fail after half of their load time. */
    LOADS_FAIL(
            context ->
                    applyToEngines(
                            context,
                            engine -> engine.failNextLoads(2),
                            engine -> engine.failNextLoads(0))),
    /** An engine crashes and is restarted when the fault ends. */
    ENGINE_CRASHED(
            context -> {
                EngineStandIn engine = context.randomEngine();
                engine.setRestartsAfterCrash(false);
                engine.crash();
                return () -> {
                    engine.setRestartsAfterCrash(true);
                    engine.restartEmpty();
                };
            }),
    /** An engine is restarted and has no artifacts loaded afterwards. */
    ENGINE_RESTARTED_EMPTY(
            context -> {
                context.randomEngine().restartEmpty();
                return () -> {};
            }),
    /** An engine is stopped without warning and replaced when the fault ends. */
    ENGINE_RECLAIMED(context -> context.fleetChanges().reclaim(context.randomEngine())),
    /** An engine announces that it is leaving; it is stopped and replaced when the fault ends. */
    ENGINE_LEAVING(context -> context.fleetChanges().leave(context.randomEngine())),
    /** All engines stop answering on their open connections; new connections work. */
    ENGINE_CONNECTIONS_SILENT(
            context ->
                    applyToEngines(context, EngineStandIn::silenceOpenConnections, engine -> {})),
    /** The connections of the next three streams of each engine break after some tokens. */
    STREAMS_BROKEN(
            context ->
                    applyToEngines(
                            context,
                            engine -> engine.breakNextStreams(3),
                            engine -> engine.breakNextStreams(0))),
    /** A server of the plain service runs calls without answering them. */
    SERVICE_FROZEN(
            context -> {
                PlainServiceStandIn service = context.randomService();
                service.setUnresponsive(true);
                return () -> service.setUnresponsive(false);
            }),
    /** A server of the plain service runs the next three calls, then closes their connections. */
    SERVICE_CUT_AFTER_RUNNING(
            context -> {
                PlainServiceStandIn service = context.randomService();
                service.disconnectNextAfterRunning(3);
                return () -> service.disconnectNextAfterRunning(0);
            }),
    /**
     * All servers of the plain service stop answering on their open connections; new connections
     * work.
     */
    SERVICE_CONNECTIONS_SILENT(
            context -> {
                context.platform().services().forEach(PlainServiceStandIn::silenceOpenConnections);
                return () -> {};
            }),
    /** An entry instance is killed, and replaced when the fault ends. */
    INSTANCE_KILLED(context -> context.fleetChanges().kill(context.randomInstance())),
    /** A replacement of an entry instance starts, then the instance is drained. */
    INSTANCE_DRAINED(
            context -> {
                context.fleetChanges().drain(context.randomInstance());
                return () -> {};
            }),
    /** Two operators edit the same table concurrently, with valid and invalid rows. */
    OPERATORS_RACING(context -> context.racingOperators().start(context.random().nextLong())),
    /** A caller repeats a request that crashes engines, each time at the next instance. */
    CRASHING_REQUEST(context -> context.crashingCaller().start(context.random().nextLong()));

    /** Injects a fault. */
    @FunctionalInterface
    private interface FaultAction {
        /** Starts the fault and returns a task that ends it. */
        Runnable start(FaultContext context);
    }

    private final FaultAction action;

    FaultKind(FaultAction action) {
        this.action = action;
    }

    /** Starts the fault and returns a task that ends it. */
    Runnable start(FaultContext context) {
        return action.start(context);
    }

    private static Runnable startOutage(FaultContext context, OutageKind kind) {
        context.platform().objectApi().setOutage(kind);
        return () -> context.platform().objectApi().setOutage(OutageKind.NONE);
    }

    private static Runnable applyToEngines(
            FaultContext context, Consumer<EngineStandIn> start, Consumer<EngineStandIn> end) {
        context.platform().engines().forEach(start);
        return () -> context.platform().engines().forEach(end);
    }
}
