package org.tarragonlug.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.instancelist.ListedInstance;

/** Stand-in for the instance list. It answers with the list as it was a configurable time ago. */
public final class InstanceListStandIn implements AutoCloseable {
    private static final int MAXIMUM_SNAPSHOTS = 1000;

    private final StandInClock clock;
    private final StandInServer server;
    private final Map<String, ListedInstance> instances = new LinkedHashMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private Duration lag = Duration.ZERO;
    private long earliestShownNanos = Long.MIN_VALUE;
    private boolean outage;

    /** Starts the stand-in with an empty list. */
    public InstanceListStandIn(IoExecutor ioExecutor, StandInClock clock) {
        this.clock = clock;
        snapshots.addLast(new Snapshot(clock.nanos(), List.of()));
        this.server = new StandInServer(ioExecutor, this::handle).start();
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Sets the age of the answers, in real time. */
    public synchronized void setLag(Duration newLag) {
        lag = newLag;
        earliestShownNanos = Long.MIN_VALUE;
    }

    /**
     * Sets the age of the answers without showing a state from before this call. A lagging list
     * shows later changes late, but does not revert changes that it has already shown.
     */
    public synchronized void startLagging(Duration newLag) {
        lag = newLag;
        earliestShownNanos = clock.nanos();
    }

    /** Sets whether every call is answered with status 503. */
    public synchronized void setOutage(boolean newOutage) {
        outage = newOutage;
    }

    /** Adds an instance, or replaces the one with the same id. */
    public synchronized void put(ListedInstance instance) {
        instances.put(instance.id(), instance);
        recordSnapshot();
    }

    /** Removes an instance. */
    public synchronized void remove(String id) {
        instances.remove(id);
        recordSnapshot();
    }

    /** Marks an instance as leaving; does nothing if it is not listed. */
    public synchronized void markLeaving(String id) {
        ListedInstance old = instances.get(id);
        if (old != null) {
            put(
                    new ListedInstance(
                            id, old.kind(), old.group(), old.address(), old.failureDomain(), true));
        }
    }

    /** Returns the present instances, without the lag. */
    public synchronized List<ListedInstance> currentInstances() {
        return List.copyOf(instances.values());
    }

    private void recordSnapshot() {
        snapshots.addLast(new Snapshot(clock.nanos(), List.copyOf(instances.values())));
        if (snapshots.size() > MAXIMUM_SNAPSHOTS) {
            snapshots.removeFirst();
        }
    }

    private synchronized CompletionStage<StandInReply> handle(StandInRequest request) {
        if (outage) {
            return CompletableFuture.completedFuture(StandInReply.empty(503));
        }
        if (!request.matches("GET", "instances", 1)) {
            return CompletableFuture.completedFuture(StandInReply.empty(404));
        }
        return CompletableFuture.completedFuture(StandInReply.json(200, body(laggedInstances())));
    }

    private List<ListedInstance> laggedInstances() {
        long shownNanos = Math.max(earliestShownNanos, clock.nanos() - lag.toNanos());
        Snapshot result = snapshots.peekFirst();
        for (Snapshot snapshot : snapshots) {
            if (snapshot.nanos <= shownNanos) {
                result = snapshot;
            }
        }
        return result.instances;
    }

    private static ObjectNode body(List<ListedInstance> listed) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode list = body.putArray("instances");
        for (ListedInstance instance : listed) {
            list.addObject()
                    .put("id", instance.id())
                    .put("kind", instance.kind().name())
                    .put("group", instance.group().value())
                    .put("host", instance.address().getAddress().getHostAddress())
                    .put("port", instance.address().getPort())
                    .put("failureDomain", instance.failureDomain().value())
                    .put("leaving", instance.leaving());
        }
        return body;
    }

    @Override
    public void close() {
        server.close();
    }

    private record Snapshot(long nanos, List<ListedInstance> instances) {}
}
