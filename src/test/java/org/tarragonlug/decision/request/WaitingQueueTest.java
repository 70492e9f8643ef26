package org.tarragonlug.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.measure.RequestScenario;

/**
 * Tests the waiting queue and the timer heap. Compares the queue with a simple implementation of
 * deficit round robin, which guards against a wrong order of service after requests expire or are
 * queued again: the queue handles both by changing its lists in place.
 */
class WaitingQueueTest {
    private static final List<Route> ROUTES =
            List.of(
                    RequestScenario.engineRoute("/one", true, 1),
                    RequestScenario.engineRoute("/two", true, 2),
                    RequestScenario.engineRoute("/five", true, 5));

    /**
     * Reference implementation, which has one sorted list per route and searches all lists from the
     * start.
     */
    private static final class ReferenceQueue {
        private static final class Entry {
            private final Route route;
            private final List<PendingRequest> requests = new ArrayList<>();
            private int credit;

            Entry(Route route) {
                this.route = route;
            }
        }

        private final List<Entry> turns = new ArrayList<>();

        void add(PendingRequest request) {
            Entry entry =
                    turns.stream().filter(e -> e.route == request.route).findFirst().orElse(null);
            if (entry == null) {
                entry = new Entry(request.route);
                turns.add(entry);
            }
            entry.requests.add(request);
            entry.requests.sort(
                    Comparator.comparing((PendingRequest r) -> r.priority)
                            .thenComparing(r -> r.sequence));
        }

        void remove(PendingRequest request) {
            turns.forEach(entry -> entry.requests.remove(request));
            turns.removeIf(entry -> entry.requests.isEmpty());
        }

        PendingRequest poll() {
            if (turns.isEmpty()) {
                return null;
            }
            while (turns.get(0).credit == 0) {
                turns.add(turns.remove(0));
                turns.get(0).credit += turns.get(0).route.share();
            }
            Entry entry = turns.get(0);
            entry.credit--;
            PendingRequest request = entry.requests.get(0);
            remove(request);
            return request;
        }
    }

    static PendingRequest request(int sequence, Route route, Priority priority) {
        RequestDescription plain =
                RequestScenario.description(
                        route.pathPrefix(), "m", RequestFixture.TIMEOUT, Optional.empty(), "b");
        RequestDescription description =
                new RequestDescription(
                        plain.method(),
                        plain.path(),
                        plain.artifact(),
                        plain.headers(),
                        plain.timeout(),
                        Optional.of(priority),
                        plain.key(),
                        plain.bodyHash(),
                        1,
                        0,
                        true);
        return new PendingRequest(
                new RequestId("r" + sequence),
                description,
                null,
                route,
                null,
                Instant.EPOCH,
                Instant.EPOCH,
                new Fingerprint("f"),
                sequence);
    }

    @Test
    void servesInSameOrderAsReferenceImplementation() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            WaitingQueue queue = new WaitingQueue();
            ReferenceQueue reference = new ReferenceQueue();
            List<PendingRequest> waiting = new ArrayList<>();
            List<PendingRequest> taken = new ArrayList<>();
            for (int step = 0; step < 500; step++) {
                int action = random.nextInt(10);
                if (action < 5) {
                    Priority priority = Priority.values()[random.nextInt(3)];
                    PendingRequest added = request(step, ROUTES.get(random.nextInt(3)), priority);
                    queue.add(added);
                    reference.add(added);
                    waiting.add(added);
                } else if (action < 8) {
                    PendingRequest peeked = queue.peek();
                    PendingRequest polled = queue.poll();
                    assertSame(peeked, polled);
                    assertSame(reference.poll(), polled, "seed " + seed + " step " + step);
                    waiting.remove(polled);
                    if (polled != null) {
                        taken.add(polled);
                    }
                } else if (action == 8 && !waiting.isEmpty()) {
                    PendingRequest expired = waiting.remove(random.nextInt(waiting.size()));
                    queue.remove(expired);
                    reference.remove(expired);
                } else if (!taken.isEmpty()) {
                    PendingRequest requeued = taken.remove(random.nextInt(taken.size()));
                    queue.add(requeued);
                    reference.add(requeued);
                    waiting.add(requeued);
                }
                assertEquals(waiting.size(), queue.size());
            }
        }
    }

    @Test
    void servesRoutesBySharesAndHigherPriorityFirst() {
        WaitingQueue queue = new WaitingQueue();
        for (int index = 0; index < 300; index++) {
            Priority priority = index < 150 ? Priority.BATCH : Priority.INTERACTIVE;
            queue.add(request(index, ROUTES.get(index % 3), priority));
        }
        int[] counts = new int[3];
        for (int index = 0; index < 80; index++) {
            PendingRequest polled = queue.poll();
            assertEquals(Priority.INTERACTIVE, polled.priority);
            counts[ROUTES.indexOf(polled.route)]++;
        }
        assertEquals(List.of(10, 20, 50), List.of(counts[0], counts[1], counts[2]));
    }

    @Test
    void runsTimersInDueOrderAndSkipsCancelledOnes() {
        Random random = new Random(7);
        TimerHeap heap = new TimerHeap();
        List<Integer> ran = new ArrayList<>();
        List<TimerHeap.Timer> timers = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        for (int index = 0; index < 1_000; index++) {
            int due = random.nextInt(500);
            TimerHeap.Timer timer = new TimerHeap.Timer(now -> ran.add(due));
            timers.add(timer);
            heap.schedule(timer, Instant.EPOCH.plusMillis(due));
            if (random.nextInt(3) == 0) {
                heap.cancel(timers.get(index));
            } else {
                expected.add(due);
            }
        }
        expected.sort(Comparator.naturalOrder());
        heap.runDue(Instant.EPOCH.plusMillis(500));
        assertEquals(expected, ran);
        assertEquals(0, heap.size());
        assertNull(new WaitingQueue().poll());
        assertTrue(timers.stream().noneMatch(TimerHeap.Timer::isScheduled));
    }
}
