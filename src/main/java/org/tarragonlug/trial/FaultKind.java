package org.tarragonlug.trial;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.InstanceListStandIn;
import org.tarragonlug.standin.ObjectApiStandIn;
import org.tarragonlug.standin.OutageKind;
import org.tarragonlug.standin.PlainServiceStandIn;

/** Kinds of faults; each knows how it starts and how it ends. */
enum FaultKind {
    /** The object API answers every call with 503. */
    OBJECT_API_REFUSING(context -> startOutage(context, OutageKind.REFUSING)),
    /** The object API closes the connection of every call. */
    OBJECT_API_DISCONNECTING(context -> startOutage(context, OutageKind.DISCONNECTING)),
    /** The object API never answers. */
    OBJECT_API_SILENT(context -> startOutage(context, OutageKind.SILENT)),
    /** Each answer of the object API comes 500 ms later. */
    OBJECT_API_SLOW(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.setDelay(Duration.ofMillis(500));
                return () -> api.setDelay(Duration.ZERO);
            }),
    /** Writes take effect, but some answers to them are lost. */
    OBJECT_API_LOSING_ANSWERS(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.loseAnswersOfNextWrites(2 + context.random().nextInt(6));
                return () -> api.loseAnswersOfNextWrites(0);
            }),
    /** Reads return the content before the last change. */
    OBJECT_API_STALE_READS(
            context -> {
                ObjectApiStandIn api = context.platform().objectApi();
                api.setStaleReads(true);
                return () -> api.setStaleReads(false);
            }),
    /** Open connections to the object API are silent; new ones work. */
    OBJECT_API_CONNECTIONS_SILENT(
            context -> {
                context.platform().objectApi().silenceOpenConnections();
                return () -> {};
            }),
    /** The instance list answers what was true some seconds ago. */
    INSTANCE_LIST_LAGGING(
            context -> {
                InstanceListStandIn list = context.platform().instanceList();
                list.startLagging(Duration.ofSeconds(1 + context.random().nextInt(4)));
                return () -> list.setLag(Duration.ZERO);
            }),
    /** The instance list answers with 503. */
    INSTANCE_LIST_DOWN(
            context -> {
                context.platform().instanceList().setOutage(true);
                return () -> context.platform().instanceList().setOutage(false);
            }),
    /** Loads from the weight store take several times as long. */
    WEIGHT_STORE_SLOW(
            context -> {
                context.platform().weightStore().setSlowness(2 + context.random().nextInt(20));
                return () -> context.platform().weightStore().setSlowness(1);
            }),
    /** The next loads of each engine fail halfway. */
    LOADS_FAIL(
            context ->
                    applyToEngines(
                            context,
                            engine -> engine.failNextLoads(2),
                            engine -> engine.failNextLoads(0))),
    /** An engine crashes and starts again when the fault ends. */
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
    /** An engine is restarted with nothing loaded. */
    ENGINE_RESTARTED_EMPTY(
            context -> {
                context.randomEngine().restartEmpty();
                return () -> {};
            }),
    /** An engine is stopped without notice, and another one replaces it. */
    ENGINE_RECLAIMED(context -> context.fleetChanges().reclaim(context.randomEngine())),
    /** An engine says that it is leaving, and another one replaces it. */
    ENGINE_LEAVING(context -> context.fleetChanges().leave(context.randomEngine())),
    /** Open connections to all engines are silent; new ones work. */
    ENGINE_CONNECTIONS_SILENT(
            context ->
                    applyToEngines(context, EngineStandIn::silenceOpenConnections, engine -> {})),
    /** The next streams of each engine break after some tokens. */
    STREAMS_BROKEN(
            context ->
                    applyToEngines(
                            context,
                            engine -> engine.breakNextStreams(3),
                            engine -> engine.breakNextStreams(0))),
    /** A service server runs calls and never answers. */
    SERVICE_FROZEN(
            context -> {
                PlainServiceStandIn service = context.randomService();
                service.setUnresponsive(true);
                return () -> service.setUnresponsive(false);
            }),
    /** The connections of some calls break after the call ran. */
    SERVICE_CUT_AFTER_RUNNING(
            context -> {
                PlainServiceStandIn service = context.randomService();
                service.disconnectNextAfterRunning(3);
                return () -> service.disconnectNextAfterRunning(0);
            }),
    /** Open connections to all service servers are silent; new ones work. */
    SERVICE_CONNECTIONS_SILENT(
            context -> {
                context.platform().services().forEach(PlainServiceStandIn::silenceOpenConnections);
                return () -> {};
            }),
    /** An entry instance is killed; when the fault ends, another one replaces it. */
    INSTANCE_KILLED(context -> context.fleetChanges().kill(context.randomInstance())),
    /** An entry instance is drained while another one starts. */
    INSTANCE_DRAINED(
            context -> {
                context.fleetChanges().drain(context.randomInstance());
                return () -> {};
            }),
    /** Two operators edit the same table at once, validly and not. */
    OPERATORS_RACING(context -> context.racingOperators().start(context.random().nextLong())),
    /** A caller sends a request that crashes engines again and again, at one instance each time. */
    CRASHING_REQUEST(context -> context.crashingCaller().start(context.random().nextLong()));

    /** Starts a fault. */
    @FunctionalInterface
    private interface FaultAction {
        /** Starts the fault and returns what ends it. */
        Runnable start(FaultContext context);
    }

    private final FaultAction start;

    FaultKind(FaultAction start) {
        this.start = start;
    }

    /** Starts the fault and returns what ends it. */
    Runnable start(FaultContext context) {
        return start.start(context);
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
