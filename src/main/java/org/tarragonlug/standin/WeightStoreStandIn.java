package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.weightstore.Checkpoint;

/**
 * Stand-in for the weight store. Up to 4 model loads of one second each run at full speed, which
 * gives 4 loads per second. Up to 30 adapter loads of 5 to 10 ms each run at full speed. With more
 * loads, all loads of the kind are proportionally slower. Engine stand-ins load by method call and
 * not over HTTP, because no weights are transferred.
 */
public final class WeightStoreStandIn implements AutoCloseable {
    /** Maximum number of concurrent model loads that run at full speed. */
    public static final int FULL_SPEED_LOADS = 4;

    /** Maximum number of concurrent adapter loads that run at full speed. */
    public static final int FULL_SPEED_ADAPTER_LOADS = 30;

    private static final double LOAD_SECONDS = 1;
    private static final double ADAPTER_BASE_SECONDS = 0.005;
    private static final int ADAPTER_SPREAD_MILLIS = 6;

    private final StandInClock clock;
    private final StandInServer server;
    private final List<Checkpoint> checkpoints;
    private final SharedCapacity models;
    private final SharedCapacity adapters;
    private final Map<ArtifactId, Integer> loadCounts = new TreeMap<>();
    private final Deque<Long> modelLoadStarts = new ArrayDeque<>();
    private boolean slow;
    private int highestActiveLoads;

    /** Starts the stand-in with the given checkpoints in the store. */
    public WeightStoreStandIn(
            IoExecutor ioExecutor, StandInClock clock, List<Checkpoint> checkpoints) {
        this.clock = clock;
        this.checkpoints = List.copyOf(checkpoints);
        this.models = new SharedCapacity(clock, FULL_SPEED_LOADS);
        this.adapters = new SharedCapacity(clock, FULL_SPEED_ADAPTER_LOADS);
        this.server = new StandInServer(ioExecutor, this::handle).start();
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Starts a load.
     *
     * @param artifact the artifact to load
     * @param adapter whether the artifact is an adapter
     * @param onLoaded task to run when the load has ended
     * @return a task that cancels the load
     */
    Runnable load(ArtifactId artifact, boolean adapter, Runnable onLoaded) {
        synchronized (this) {
            loadCounts.merge(artifact, 1, Integer::sum);
            if (!adapter) {
                modelLoadStarts.addLast(clock.nanos());
            }
        }
        SharedCapacity capacity = adapter ? adapters : models;
        double seconds = adapter ? adapterSeconds(artifact) : LOAD_SECONDS;
        SharedCapacity.Job job = capacity.start(seconds, onLoaded);
        synchronized (this) {
            highestActiveLoads = Math.max(highestActiveLoads, models.active());
        }
        return () -> capacity.cancel(job);
    }

    private static double adapterSeconds(ArtifactId artifact) {
        int spread = Math.floorMod(artifact.hashCode(), ADAPTER_SPREAD_MILLIS);
        return ADAPTER_BASE_SECONDS + spread / 1000.0;
    }

    /** Returns the size of an artifact's checkpoint in bytes; empty if the store has none. */
    OptionalLong bytes(ArtifactId artifact) {
        return checkpoints.stream()
                .filter(checkpoint -> checkpoint.artifact().equals(artifact))
                .mapToLong(Checkpoint::bytes)
                .findFirst();
    }

    /**
     * Slows all loads down, including those in progress.
     *
     * @param factor factor by which loads take longer than usual; 1 restores the usual speed
     */
    public synchronized void setSlowness(double factor) {
        slow = factor > 1;
        models.setSlowness(factor);
        adapters.setSlowness(factor);
    }

    /** Returns the number of loads started for each artifact, including cancelled ones. */
    public synchronized Map<ArtifactId, Integer> loadCounts() {
        return Map.copyOf(loadCounts);
    }

    /** Returns the highest number of model loads that were in progress at the same time. */
    public synchronized int highestActiveLoads() {
        return highestActiveLoads;
    }

    private CompletionStage<StandInReply> handle(StandInRequest request) {
        StandInReply reply;
        if (request.matches("GET", "checkpoints", 1)) {
            reply = StandInReply.json(200, checkpointsJson());
        } else if (request.matches("GET", "load", 1)) {
            reply = StandInReply.json(200, loadJson());
        } else {
            reply = StandInReply.empty(404);
        }
        return CompletableFuture.completedFuture(reply);
    }

    private ObjectNode checkpointsJson() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode list = body.putArray("checkpoints");
        for (Checkpoint checkpoint : checkpoints) {
            list.addObject()
                    .put("artifact", checkpoint.artifact().toString())
                    .put("bytes", checkpoint.bytes());
        }
        return body;
    }

    private synchronized ObjectNode loadJson() {
        long since = clock.nanos() - Math.round(1e9 * clock.scale());
        while (!modelLoadStarts.isEmpty() && modelLoadStarts.peekFirst() < since) {
            modelLoadStarts.removeFirst();
        }
        return JsonNodeFactory.instance
                .objectNode()
                .put("activeLoads", models.active())
                .put("loadsPerSecond", (double) modelLoadStarts.size())
                .put("slow", slow);
    }

    @Override
    public void close() {
        server.close();
    }
}
