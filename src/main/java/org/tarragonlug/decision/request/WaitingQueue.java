package org.tarragonlug.decision.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.id.RouteName;

/**
 * Requests waiting for one artifact: deficit round robin between routes by their shares, within a
 * route by priority and then arrival. A request that comes back keeps its place by arrival.
 *
 * <p>Each request costs one unit, as its real cost is unknown before it ran.
 */
final class WaitingQueue {
    private static final class RouteQueue {
        private final RequestList[] byPriority = new RequestList[Priority.values().length];
        private final RouteName name;
        private int deficit;
        private int size;

        RouteQueue(RouteName name) {
            this.name = name;
            for (int index = 0; index < byPriority.length; index++) {
                byPriority[index] = new RequestList();
            }
        }

        PendingRequest first() {
            for (RequestList list : byPriority) {
                if (list.size() > 0) {
                    return list.first();
                }
            }
            throw new IllegalStateException("an empty route queue is in rotation");
        }
    }

    private final Map<RouteName, RouteQueue> waiting = new HashMap<>();
    private final Deque<RouteQueue> rotation = new ArrayDeque<>();
    private int size;

    int size() {
        return size;
    }

    void add(PendingRequest request) {
        RouteQueue queue = waiting.computeIfAbsent(request.route.name(), RouteQueue::new);
        if (queue.size == 0) {
            rotation.addLast(queue);
        }
        queue.byPriority[request.priority.ordinal()].add(request);
        queue.size++;
        size++;
    }

    /** Returns the request whose turn it is; the turn passes only when it is polled. */
    PendingRequest peek() {
        if (size == 0) {
            return null;
        }
        while (rotation.getFirst().deficit < 1) {
            RouteQueue served = rotation.removeFirst();
            rotation.addLast(served);
            RouteQueue next = rotation.getFirst();
            next.deficit += Math.max(1, next.first().route.share());
        }
        return rotation.getFirst().first();
    }

    /** Removes the request of {@link #peek} and charges its route. */
    PendingRequest poll() {
        PendingRequest request = peek();
        if (request != null) {
            rotation.getFirst().deficit--;
            remove(request);
        }
        return request;
    }

    /** Removes a request that is in this queue. */
    void remove(PendingRequest request) {
        RouteQueue queue = waiting.get(request.route.name());
        queue.byPriority[request.priority.ordinal()].remove(request);
        queue.size--;
        size--;
        if (queue.size == 0) {
            rotation.remove(queue);
            waiting.remove(queue.name);
        }
    }

    void forEach(Consumer<PendingRequest> action) {
        for (RouteQueue queue : rotation) {
            for (RequestList list : queue.byPriority) {
                for (PendingRequest r = list.first(); r != null; r = r.nextInList) {
                    action.accept(r);
                }
            }
        }
    }
}
