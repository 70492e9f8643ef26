package org.tarragonlug.decision.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.Route;
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
        private final int share;
        private int deficit;
        private int size;

        RouteQueue(Route route) {
            name = route.name();
            share = Math.max(1, route.share());
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

        int sizeUpTo(Priority priority) {
            int count = 0;
            for (int index = 0; index <= priority.ordinal(); index++) {
                count += byPriority[index].size();
            }
            return count;
        }

        PendingRequest last() {
            for (int index = byPriority.length - 1; index >= 0; index--) {
                if (byPriority[index].size() > 0) {
                    return byPriority[index].last();
                }
            }
            throw new IllegalStateException("an empty route queue is in rotation");
        }
    }

    private final Map<RouteName, RouteQueue> routeQueues = new HashMap<>();
    private final Deque<RouteQueue> rotation = new ArrayDeque<>();
    private int totalShares;
    private int size;

    int size() {
        return size;
    }

    void add(PendingRequest request) {
        RouteQueue queue = routeQueues.get(request.route.name());
        if (queue == null) {
            queue = new RouteQueue(request.route);
            routeQueues.put(queue.name, queue);
            rotation.addLast(queue);
            totalShares += queue.share;
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
            next.deficit += next.share;
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
        RouteQueue queue = routeQueues.get(request.route.name());
        queue.byPriority[request.priority.ordinal()].remove(request);
        queue.size--;
        size--;
        if (queue.size == 0) {
            rotation.remove(queue);
            routeQueues.remove(queue.name);
            totalShares -= queue.share;
        }
    }

    /**
     * Estimates how many requests go before one that arrives now: those before it in its route, and
     * as many of the other routes as their shares let through meanwhile.
     */
    int countAhead(Route route, Priority priority) {
        RouteQueue own = routeQueues.get(route.name());
        if (own == null) {
            return Math.min(size, totalShares);
        }
        int before = own.sizeUpTo(priority);
        long turns = before / own.share + 1L;
        return (int) Math.min(size, before + turns * (totalShares - own.share));
    }

    /**
     * Finds the request that gives way to one that arrives while the queue is full: the last of the
     * route that is furthest above its share if the arriving one's route stays below that, or the
     * last of the own route if its priority is lower. Without this a flood on one route would shut
     * out the others. A request that was attempted never gives way.
     *
     * @return the request, or null if the arriving one has to be refused
     */
    PendingRequest findDisplaceable(Route route, Priority priority) {
        RouteQueue own = routeQueues.get(route.name());
        RouteQueue longest = null;
        for (RouteQueue queue : rotation) {
            if (longest == null || load(queue, 0) > load(longest, 0)) {
                longest = queue;
            }
        }
        if (longest == null) {
            return null;
        }
        double ownLoad = own == null ? 1.0 / Math.max(1, route.share()) : load(own, 1);
        PendingRequest candidate = null;
        if (longest != own && load(longest, 0) > ownLoad) {
            candidate = longest.last();
        } else if (own != null && own.last().priority.compareTo(priority) > 0) {
            candidate = own.last();
        }
        return candidate == null || candidate.attempted ? null : candidate;
    }

    private static double load(RouteQueue queue, int added) {
        return (queue.size + added) / (double) queue.share;
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
