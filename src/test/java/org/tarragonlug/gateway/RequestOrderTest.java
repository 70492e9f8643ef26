package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** All orders of events of one request, up to a number of events. */
class RequestOrderTest {
    private static final int DEPTH = Integer.getInteger("tarragonlug.order.depth", 5);
    private static final int DISTURBANCES = Integer.getInteger("tarragonlug.order.disturbances", 1);

    /** Number of events where only copies and returns of the caller disturb the ordinary course. */
    private static final int DEPTH_OF_REPEATS =
            Integer.getInteger("tarragonlug.order.repeats.depth", 7);

    /** Which orders are explored: their events, length and disturbances, and the retry budget. */
    private record Orders(
            Predicate<ExploredEvent> events,
            int depth,
            int disturbances,
            int retries,
            UnaryOperator<ExploredWorld> before) {
        Orders(Predicate<ExploredEvent> events, int depth, int disturbances) {
            this(events, depth, disturbances, ExploredWorld.MANY_RETRIES);
        }

        Orders(Predicate<ExploredEvent> events, int depth, int disturbances, int retries) {
            this(events, depth, disturbances, retries, UnaryOperator.identity());
        }

        OrderExplorer.Result explore(
                ConnectionRule rule, ExploredFleet fleet, ExploredRequestKind kind) {
            long start = System.nanoTime();
            OrderExplorer.Result result =
                    new OrderExplorer(
                                    () ->
                                            before.apply(
                                                    new ExploredWorld(kind, fleet, rule, retries)),
                                    events,
                                    depth,
                                    disturbances)
                            .explore();
            System.out.printf(
                    "%s %s %s, %d retries: %d states, %d transitions, up to %d events,"
                            + " %d disturbances, %d ms%n",
                    rule,
                    fleet,
                    kind,
                    retries,
                    result.states(),
                    result.transitions(),
                    result.depth(),
                    disturbances,
                    (System.nanoTime() - start) / 1_000_000);
            result.shortestOrders()
                    .forEach((fault, order) -> System.out.println("  " + fault + ": " + order));
            return result;
        }

        /** Explores the orders under the present rule, none of which may have a fault. */
        void assertNoFault(ExploredFleet fleet, ExploredRequestKind kind) {
            assertEquals(
                    Map.of(), explore(ConnectionRule.CARRIED_CALLS, fleet, kind).shortestOrders());
        }
    }

    @Nested
    class WithThePresentRule {
        static Stream<Arguments> combinations() {
            return Stream.of(ExploredFleet.values())
                    .flatMap(
                            fleet ->
                                    Stream.of(ExploredRequestKind.values())
                                            .map(kind -> Arguments.of(fleet, kind)));
        }

        private static boolean isPossible(ExploredEvent event) {
            return !event.breaksAssumption();
        }

        // Guards against an order of events in which a request runs too often, runs although its
        // caller was told that it has not, is at two servers, or does not end exactly once.
        @ParameterizedTest
        @MethodSource("combinations")
        void noOrderBreaksAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            new Orders(WithThePresentRule::isPossible, DEPTH, DISTURBANCES)
                    .assertNoFault(fleet, kind);
        }

        // Guards against a promise that holds under each disturbance alone, but not under two: a
        // request whose server broke off, and which is then quarantined or stopped.
        @ParameterizedTest
        @MethodSource("combinations")
        void noTwoDisturbancesBreakAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            new Orders(WithThePresentRule::isPossible, DEPTH - 1, DISTURBANCES + 1)
                    .assertNoFault(fleet, kind);
        }

        // Guards against a promise that rests on the retry budget: without retries a request is
        // refused after each rejection, whatever else is under way.
        @ParameterizedTest
        @MethodSource("combinations")
        void noOrderBreaksAPromiseWithoutRetries(ExploredFleet fleet, ExploredRequestKind kind) {
            new Orders(WithThePresentRule::isPossible, DEPTH, DISTURBANCES, 0)
                    .assertNoFault(fleet, kind);
        }

        // Guards against answers, copies and connections that are taken for those of another
        // caller's request, which is under way at the same time.
        @ParameterizedTest
        @MethodSource("combinations")
        void noOtherCallerBreaksAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            Predicate<ExploredEvent> events =
                    event -> event.isOrdinary() || event.repeats() || event.isOfOtherCaller();
            new Orders(events, DEPTH_OF_REPEATS - 1, 2).assertNoFault(fleet, kind);
        }

        // Guards against the copy of an answer that counts as the answer to a later send, however
        // often the request is sent and refused before.
        @ParameterizedTest
        @MethodSource("combinations")
        void noCopyBreaksAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            Predicate<ExploredEvent> events = event -> event.isOrdinary() || event.repeats();
            new Orders(events, DEPTH_OF_REPEATS, 2).assertNoFault(fleet, kind);
        }
    }

    /** Orders that begin when a request has begun at its server and the server is silent. */
    @Nested
    class WithASilentServer {
        static Stream<Arguments> combinations() {
            Set<ExploredRequestKind> repeatable =
                    EnumSet.of(
                            ExploredRequestKind.IDEMPOTENT, ExploredRequestKind.RESUMABLE_STREAM);
            return Stream.of(ExploredFleet.values())
                    .flatMap(fleet -> repeatable.stream().map(kind -> Arguments.of(fleet, kind)));
        }

        private static void explore(
                ExploredFleet fleet,
                ExploredRequestKind kind,
                int depth,
                int disturbances,
                int retries) {
            new Orders(
                            event -> !event.breaksAssumption(),
                            depth,
                            disturbances,
                            retries,
                            ExploredWorld::withSilentServer)
                    .assertNoFault(fleet, kind);
        }

        // Guards against an order in which two servers answer a request, an event comes twice or is
        // missing, or an attempt stays open that nobody waits for.
        @ParameterizedTest
        @MethodSource("combinations")
        void noOrderBreaksAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            explore(fleet, kind, DEPTH, DISTURBANCES, ExploredWorld.MANY_RETRIES);
        }

        // Guards against the same if two things happen that are not in the ordinary course.
        @ParameterizedTest
        @MethodSource("combinations")
        void noTwoDisturbancesBreakAPromise(ExploredFleet fleet, ExploredRequestKind kind) {
            explore(fleet, kind, DEPTH - 1, DISTURBANCES + 1, ExploredWorld.MANY_RETRIES);
        }

        // Guards against the same if there is no retry, so that the silent server is all there is.
        @ParameterizedTest
        @MethodSource("combinations")
        void noOrderBreaksAPromiseWithoutRetries(ExploredFleet fleet, ExploredRequestKind kind) {
            explore(fleet, kind, DEPTH, DISTURBANCES, 0);
        }
    }

    @Nested
    class WithEarlierRules {
        /** Events that these orders do not need. */
        private static final Set<ExploredEvent> TIME =
                EnumSet.of(ExploredEvent.TICK, ExploredEvent.RETRY_PAUSE_PASSES);

        private Set<ExploredFault> explored(ConnectionRule rule, ExploredFleet fleet, int depth) {
            Predicate<ExploredEvent> events =
                    event -> event.isOrdinary() && !TIME.contains(event) || event.repeats();
            return new Orders(events, depth, 2)
                    .explore(rule, fleet, ExploredRequestKind.NON_IDEMPOTENT)
                    .shortestOrders()
                    .keySet();
        }

        // Guards against an exploration that would not notice that a connection carries a request
        // twice where two servers share an address.
        @ParameterizedTest
        @EnumSource
        void copyAtASharedAddressIsFound(ConnectionRule rule) {
            assertEquals(
                    faults(rule, ExploredFault.BEGUN_TOO_OFTEN),
                    explored(rule, ExploredFleet.REUSED_ADDRESS, 7));
        }

        // Guards against an exploration that would not notice that a request is forgotten when it
        // ends, so that the caller's return is sent on the connection that refused it.
        @ParameterizedTest
        @EnumSource
        void copyAfterTheReturnOfTheCallerIsFound(ConnectionRule rule) {
            assertEquals(faults(rule), explored(rule, ExploredFleet.ONE_SERVER, 6));
        }

        // Guards against the same if the copy makes the request go on at a second server.
        @ParameterizedTest
        @EnumSource
        void secondRunAfterTheReturnOfTheCallerIsFound(ConnectionRule rule) {
            assertEquals(
                    faults(rule, ExploredFault.BEGUN_TOO_OFTEN),
                    explored(rule, ExploredFleet.TWO_SERVERS, 10));
        }

        private Set<ExploredFault> faults(ConnectionRule rule, ExploredFault... further) {
            if (rule == ConnectionRule.CARRIED_CALLS) {
                return Set.of();
            }
            return EnumSet.of(ExploredFault.BEGUN_THOUGH_PROMISED, further);
        }
    }

    @Nested
    class BrokenAssumptions {
        // Guards against an exploration that would not notice a promise about a request that a
        // server has begun, and shows on what of servers and libraries the promise rests.
        @ParameterizedTest
        @EnumSource(names = "WRITTEN_AFTER_ALL")
        void breaksThePromise(ExploredEvent broken) {
            Map<ExploredFault, List<String>> found =
                    new Orders(event -> event.isOrdinary() || event == broken, 5, 1)
                            .explore(
                                    ConnectionRule.CARRIED_CALLS,
                                    ExploredFleet.ONE_SERVER,
                                    ExploredRequestKind.NON_IDEMPOTENT)
                            .shortestOrders();
            assertTrue(found.containsKey(ExploredFault.BEGUN_THOUGH_PROMISED));
        }
    }
}
