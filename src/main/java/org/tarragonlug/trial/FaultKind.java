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
    OBJECT_API_REFUSING(world -> startOutage(world, OutageKind.REFUSING)),
    /** The object API closes the connection of every call. */
    OBJECT_API_DISCONNECTING(world -> startOutage(world, OutageKind.DISCONNECTING)),
    /** The object API never answers. */
    OBJECT_API_SILENT(world -> startOutage(world, OutageKind.SILENT)),
    /** Each answer of the object API comes 500 ms later. */
    OBJECT_API_SLOW(
            world -> {
                ObjectApiStandIn api = world.platform().objectApi();
                api.setDelay(Duration.ofMillis(500));
                return () -> api.setDelay(Duration.ZERO);
            }),
    /** Writes take effect, but some answers to them are lost. */
    OBJECT_API_LOSING_ANSWERS(
            world -> {
                ObjectApiStandIn api = world.platform().objectApi();
                api.loseAnswersOfNextWrites(2 + world.random().nextInt(6));
                return () -> api.loseAnswersOfNextWrites(0);
            }),
    /** Reads return the content before the last change. */
    OBJECT_API_STALE_READS(
            world -> {
                ObjectApiStandIn api = world.platform().objectApi();
                api.setStaleReads(true);
                return () -> api.setStaleReads(false);
            }),
    /** Open connections to the object API are silent; new ones work. */
    OBJECT_API_CONNECTIONS_SILENT(
            world -> {
                world.platform().objectApi().silenceOpenConnections();
                return () -> {};
            }),
    /** The instance list answers what was true some seconds ago. */
    INSTANCE_LIST_LAGGING(
            world -> {
                InstanceListStandIn list = world.platform().instanceList();
                list.startLagging(Duration.ofSeconds(1 + world.random().nextInt(4)));
                return () -> list.setLag(Duration.ZERO);
            }),
    /** The instance list answers with 503. */
    INSTANCE_LIST_DOWN(
            world -> {
                world.platform().instanceList().setOutage(true);
                return () -> world.platform().instanceList().setOutage(false);
            }),
    /** Loads from the weight store take several times as long. */
    WEIGHT_STORE_SLOW(
            world -> {
                world.platform().weightStore().setSlowness(2 + world.random().nextInt(20));
                return () -> world.platform().weightStore().setSlowness(1);
            }),
    /** The next loads of each engine fail halfway. */
    LOADS_FAIL(
            world ->
                    applyToEngines(
                            world,
                            engine -> engine.failNextLoads(2),
                            engine -> engine.failNextLoads(0))),
    /** An engine crashes and starts again when the fault ends. */
    ENGINE_CRASHED(
            world -> {
                EngineStandIn engine = world.randomEngine();
                engine.setRestartsAfterCrash(false);
                engine.crash();
                return () -> {
                    engine.setRestartsAfterCrash(true);
                    engine.restartEmpty();
                };
            }),
    /** An engine is restarted with nothing loaded. */
    ENGINE_RESTARTED_EMPTY(
            world -> {
                world.randomEngine().restartEmpty();
                return () -> {};
            }),
    /** An engine is stopped without notice, and another one replaces it. */
    ENGINE_RECLAIMED(world -> world.fleetChanges().reclaim(world.randomEngine())),
    /** An engine says that it is leaving, and another one replaces it. */
    ENGINE_LEAVING(world -> world.fleetChanges().leave(world.randomEngine())),
    /** Open connections to all engines are silent; new ones work. */
    ENGINE_CONNECTIONS_SILENT(
            world -> applyToEngines(world, EngineStandIn::silenceOpenConnections, engine -> {})),
    /** The next streams of each engine break after some tokens. */
    STREAMS_BROKEN(
            world ->
                    applyToEngines(
                            world,
                            engine -> engine.breakNextStreams(3),
                            engine -> engine.breakNextStreams(0))),
    /** A service server runs calls and never answers. */
    SERVICE_FROZEN(
            world -> {
                PlainServiceStandIn service = world.randomService();
                service.setUnresponsive(true);
                return () -> service.setUnresponsive(false);
            }),
    /** The connections of some calls break after the call ran. */
    SERVICE_CUT_AFTER_RUNNING(
            world -> {
                PlainServiceStandIn service = world.randomService();
                service.disconnectNextAfterRunning(3);
                return () -> service.disconnectNextAfterRunning(0);
            }),
    /** Open connections to all service servers are silent; new ones work. */
    SERVICE_CONNECTIONS_SILENT(
            world -> {
                world.platform().services().forEach(PlainServiceStandIn::silenceOpenConnections);
                return () -> {};
            }),
    /** An entry instance is killed; when the fault ends, another one replaces it. */
    INSTANCE_KILLED(world -> world.fleetChanges().kill(world.randomInstance())),
    /** An entry instance is drained while another one starts. */
    INSTANCE_DRAINED(
            world -> {
                world.fleetChanges().drain(world.randomInstance());
                return () -> {};
            }),
    /** Two operators edit the same table at once, validly and not. */
    OPERATORS_RACING(world -> world.racingOperators().start(world.random().nextLong())),
    /** A caller sends a request that crashes engines again and again, at one instance each time. */
    CRASHING_REQUEST(world -> world.crashingCaller().start(world.random().nextLong()));

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
