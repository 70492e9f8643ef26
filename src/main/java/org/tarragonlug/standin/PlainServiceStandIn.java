package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.HttpPlainServiceClient;

/**
 * Stand-in for one server of a plain service. It runs every call that it receives, including
 * repeated ones, and counts the runs of each idempotency key, so that tests can detect calls that
 * ran more than once.
 */
public final class PlainServiceStandIn implements AutoCloseable {
    private static final String KEY_HEADER = "idempotency-key";

    private final ServerId id;
    private final StandInClock clock;
    private final StandInServer server;
    private final Map<String, Integer> runsByKey;
    private Duration runTime = Duration.ZERO;
    private int incarnation = 1;
    private int running;
    private int failuresAfterRunning;
    private int disconnectsAfterRunning;
    private boolean leaving;
    private boolean unresponsive;
    private boolean overloaded;

    /**
     * Starts the stand-in.
     *
     * @param id the server's id
     * @param ioExecutor the shared I/O threads
     * @param clock the shared timer
     * @param runsByKey number of runs by idempotency key, shared by all servers of the service
     */
    public PlainServiceStandIn(
            ServerId id,
            IoExecutor ioExecutor,
            StandInClock clock,
            ConcurrentHashMap<String, Integer> runsByKey) {
        this.id = id;
        this.clock = clock;
        this.runsByKey = runsByKey;
        this.server = new StandInServer(ioExecutor, this::handle).start();
    }

    public ServerId id() {
        return id;
    }

    /** Returns the listening address; a restart keeps it. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Sets the run time of a call, in real time. */
    public synchronized void setRunTime(Duration time) {
        runTime = time;
    }

    /** Sets whether the server runs calls without answering them. */
    public synchronized void setUnresponsive(boolean newUnresponsive) {
        unresponsive = newUnresponsive;
    }

    /** Stops answering on all open connections; new connections work. */
    public void silenceOpenConnections() {
        server.silenceOpenConnections();
    }

    /** Sets whether the server rejects new calls as overloaded without running them. */
    public synchronized void setOverloaded(boolean newOverloaded) {
        overloaded = newOverloaded;
    }

    /** Answers the given number of next calls with status 500 after running them. */
    public synchronized void failNextAfterRunning(int count) {
        failuresAfterRunning = count;
    }

    /** Closes the connections of the given number of next calls after running them. */
    public synchronized void disconnectNextAfterRunning(int count) {
        disconnectsAfterRunning = count;
    }

    /** Makes the server reject new calls because it is about to stop. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Simulates the loss of the process: closes the listening socket and all connections. */
    public void stop() {
        server.stop();
    }

    /** Starts a new process at the same address. */
    public void restart() {
        server.stop();
        synchronized (this) {
            incarnation++;
            leaving = false;
        }
        server.start();
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        if (request.matches("GET", "report", 1)) {
            return CompletableFuture.completedFuture(report());
        }
        synchronized (this) {
            if (leaving || overloaded) {
                String reason = leaving ? "leaving" : "overloaded";
                Map<String, String> headers = Map.of(HttpPlainServiceClient.NOT_RUN_HEADER, reason);
                return CompletableFuture.completedFuture(
                        StandInReply.bytes(503, headers, new byte[0]));
            }
            running++;
        }
        CompletableFuture<StandInReply> answer = new CompletableFuture<>();
        clock.delayed(runTime(), request).thenAccept(delayed -> run(delayed, answer));
        return answer;
    }

    private synchronized Duration runTime() {
        return runTime;
    }

    private void run(StandInRequest request, CompletableFuture<StandInReply> answer) {
        String attempt = request.headers().get(HttpPlainServiceClient.ATTEMPT_HEADER);
        String key = request.headers().getOrDefault(KEY_HEADER, "attempt " + attempt);
        int count = runsByKey.merge(key, 1, Integer::sum);
        StandInReply reply = StandInReply.json(200, body(request, key, count));
        synchronized (this) {
            running--;
            if (unresponsive) {
                return;
            }
            if (disconnectsAfterRunning > 0) {
                disconnectsAfterRunning--;
                request.closeConnection().run();
                return;
            }
            if (failuresAfterRunning > 0) {
                failuresAfterRunning--;
                reply = StandInReply.error(500, "failed", "failed after running");
            }
        }
        answer.complete(reply);
    }

    private ObjectNode body(StandInRequest request, String key, int count) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("server", id.value())
                .put("method", request.method())
                .put("path", "/" + String.join("/", request.path()))
                .put("key", key)
                .put("runs", count)
                .put("bytes", request.body().length);
    }

    private synchronized StandInReply report() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("incarnation", id + "#" + incarnation);
        return StandInReply.json(200, body.put("leaving", leaving).put("running", running));
    }

    @Override
    public void close() {
        server.close();
    }
}
