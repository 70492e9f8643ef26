package org.tarragonlug.standin;

import static io.servicetalk.concurrent.api.Processors.newPublisherProcessor;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.decision.capacity.CacheTier;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.engine.EngineProtocol;
import org.tarragonlug.engine.EngineReportJson;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;

/** Stand-in for a model engine on one backend server. Its methods also inject failures. */
public final class EngineStandIn implements AutoCloseable {
    /** Buffer size in events; holds a complete answer for a caller that reads slowly. */
    private static final int MAXIMUM_UNREAD_EVENTS = 8192;

    private static final Duration RESTART_TIME = Duration.ofSeconds(2);

    private final EngineSettings settings;
    private final StandInClock clock;
    private final EngineRecorder recorder;
    private final StandInServer server;
    private final EngineMemory memory;
    private final EngineBatch batch;
    private final EngineLoader loader;

    /** Serializes stopping and starting the simulated process. */
    private final Object lifecycle = new Object();

    private int incarnation = 1;
    private boolean leaving;
    private boolean overloaded;
    private boolean restartsAfterCrash = true;
    private boolean down;
    private boolean closed;
    private int streamsToBreak;
    private Duration reportLag = Duration.ZERO;
    private ServerReport lastReport;
    private long lastReportNanos;

    /**
     * Starts the stand-in without loaded artifacts.
     *
     * @param settings settings of the engine
     * @param ioExecutor the shared I/O threads
     * @param clock the shared timer
     * @param weightStore source of checkpoints that the server has not cached
     * @param recorder records replica changes, requests in progress and crashes
     */
    public EngineStandIn(
            EngineSettings settings,
            IoExecutor ioExecutor,
            StandInClock clock,
            WeightStoreStandIn weightStore,
            EngineRecorder recorder) {
        this.settings = settings;
        this.clock = clock;
        this.recorder = recorder;
        this.server = new StandInServer(ioExecutor, this::handle);
        this.memory = new EngineMemory(settings.server(), settings.memoryBytes(), recorder);
        this.batch = new EngineBatch(settings, clock, recorder, server::isSilent, this::step);
        this.loader =
                new EngineLoader(settings, clock, weightStore, memory, this, batch::inProgress);
        server.start();
    }

    public ServerId id() {
        return settings.server();
    }

    /** Returns the address that the engine listens on; a restart keeps it. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Sets the maximum age of the report that callers receive, in real time. */
    public synchronized void setReportLag(Duration lag) {
        reportLag = lag;
    }

    /** Sets the tier in which a checkpoint is cached. */
    public synchronized void setCacheTier(ArtifactId artifact, CacheTier tier) {
        memory.setCacheTier(artifact, tier);
    }

    /** Makes the given number of next loads fail after half of their load time. */
    public synchronized void failNextLoads(int count) {
        loader.failNextLoads(count);
    }

    /** Closes the connections of the given number of next generations after about three tokens. */
    public synchronized void breakNextStreams(int count) {
        streamsToBreak = count;
    }

    /** Sets whether the engine rejects new requests as overloaded. */
    public synchronized void setOverloaded(boolean newOverloaded) {
        overloaded = newOverloaded;
    }

    /** Makes the engine reject new requests and orders because its server is about to stop. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Stops answering on all open connections; new connections work. */
    public void silenceOpenConnections() {
        server.silenceOpenConnections();
    }

    /** Sets whether a crashed process restarts automatically. */
    public synchronized void setRestartsAfterCrash(boolean restarts) {
        restartsAfterCrash = restarts;
    }

    /** Returns the highest number of requests that ran at the same time so far. */
    public synchronized int largestBatch() {
        return batch.largestBatch();
    }

    /** Returns the number of requests that run or wait. */
    public synchronized int inProgressCount() {
        return batch.runningCount() + batch.waitingCount();
    }

    /** Returns the engine's present report, without the report lag. */
    public synchronized ServerReport currentReport() {
        return new ServerReport(
                settings.server(),
                settings.server() + "#" + incarnation,
                leaving,
                settings.memoryBytes(),
                memory.sizes(true),
                memory.sizes(false),
                memory.cacheTiers(),
                batch.inProgress(),
                batch.runningCount(),
                batch.waitingCount(),
                Instant.now());
    }

    /**
     * Simulates the loss of the process: closes the connections and the listening socket, and
     * empties the memory.
     */
    public void crash() {
        crash("");
    }

    private void crash(String promptText) {
        synchronized (lifecycle) {
            synchronized (this) {
                if (down) {
                    return;
                }
                down = true;
                loader.clear();
                batch.clear();
                lastReport = null;
                recorder.recordCrash(settings.server(), promptText);
                if (restartsAfterCrash) {
                    clock.after(RESTART_TIME, this::restartEmpty);
                }
            }
            server.stop();
        }
    }

    /**
     * Starts a new process without loaded artifacts at the same address. A process that is still
     * running is stopped without warning.
     */
    public void restartEmpty() {
        synchronized (lifecycle) {
            if (closed) {
                return;
            }
            server.stop();
            synchronized (this) {
                loader.clear();
                batch.clear();
                lastReport = null;
                incarnation++;
                leaving = false;
                down = false;
            }
            server.start();
        }
    }

    /** Stops the process; it can't be restarted. */
    @Override
    public void close() {
        synchronized (lifecycle) {
            closed = true;
            synchronized (this) {
                down = true;
                restartsAfterCrash = false;
                loader.clear();
                batch.clear();
            }
            server.close();
        }
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        if (isDown()) {
            return new CompletableFuture<>();
        }
        try {
            if (request.matches("GET", "report", 1)) {
                return CompletableFuture.completedFuture(report());
            }
            if (request.matches("POST", "orders", 1)) {
                return order(JsonFields.parse(request.body()));
            }
            if (request.matches("DELETE", "attempts", 2)) {
                return CompletableFuture.completedFuture(cancel(request.path().get(1)));
            }
            if (request.method().equals("POST") && request.path().get(0).equals("v1")) {
                return CompletableFuture.completedFuture(
                        generate(request, JsonFields.parse(request.body())));
            }
            return error(404, EngineProtocol.INVALID_REQUEST, "unknown method or path");
        } catch (IllegalArgumentException e) {
            return error(400, EngineProtocol.INVALID_REQUEST, e.getMessage());
        }
    }

    private synchronized boolean isDown() {
        return down;
    }

    private synchronized StandInReply report() {
        long now = clock.nanos();
        if (lastReport == null || now - lastReportNanos >= reportLag.toNanos()) {
            lastReport = currentReport();
            lastReportNanos = now;
        }
        return StandInReply.json(200, EngineReportJson.write(lastReport));
    }

    private synchronized CompletionStage<StandInReply> order(JsonNode order) {
        if (!JsonFields.text(order, "server").equals(settings.server().value())) {
            return error(400, EngineProtocol.INVALID_REQUEST, "the order is for another server");
        }
        if (leaving) {
            return error(503, EngineProtocol.LEAVING, "the server is leaving");
        }
        return loader.execute(order);
    }

    private synchronized StandInReply cancel(String attempt) {
        return StandInReply.empty(batch.cancel(attempt) > 0 ? 204 : 404);
    }

    private StandInReply generate(StandInRequest request, JsonNode body) {
        ArtifactId artifact = ArtifactId.parse(JsonFields.text(body, "model"));
        if (!body.path("messages").isArray() && !body.path("prompt").isTextual()) {
            throw new IllegalArgumentException("the body has neither messages nor a prompt");
        }
        PublisherSource.Processor<byte[], byte[]> stream =
                newPublisherProcessor(MAXIMUM_UNREAD_EVENTS);
        EngineSequence sequence;
        synchronized (this) {
            if (leaving) {
                return StandInReply.error(503, EngineProtocol.LEAVING, "the server is leaving");
            }
            if (!memory.isReady(artifact)) {
                return StandInReply.error(404, EngineProtocol.NOT_LOADED, artifact + "");
            }
            if (overloaded || batch.isFull()) {
                return StandInReply.error(429, EngineProtocol.OVERLOADED, "the queue is full");
            }
            sequence =
                    new EngineSequence(
                            request, artifact, memory.get(artifact).base(), body, stream);
            batch.add(sequence);
            if (streamsToBreak > 0) {
                streamsToBreak--;
                long nanos =
                        clock.realNanos(
                                settings.prefill().plus(settings.tokenInterval().multipliedBy(3)));
                clock.afterNanos(nanos, request.closeConnection());
            }
        }
        if (sequence.promptText().contains(settings.crashMarker())) {
            String promptText = sequence.promptText();
            clock.after(settings.prefill(), () -> crash(promptText));
        }
        return new StandInReply(
                200,
                Map.of("content-type", "text/event-stream"),
                fromSource(stream).whenCancel(() -> remove(sequence)));
    }

    private synchronized void remove(EngineSequence sequence) {
        batch.remove(sequence);
    }

    private synchronized void step() {
        batch.step();
    }

    private static CompletionStage<StandInReply> error(int status, String code, String message) {
        return CompletableFuture.completedFuture(StandInReply.error(status, code, message));
    }
}
