package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.capacity.TicketOwnerCommand.SendGrant;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.LoadWasSlow;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.OwnerTick;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.OwnerViewChanged;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.TurnRequested;
import org.tarragonlug.decision.capacity.TicketOwnerEvent.TurnReturned;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.OperationId;

class LoadTicketsTest {
    private static final Instant START = Instant.parse("2026-01-05T00:00:00Z");
    private static final Hasher HASHER = TicketNetwork::hash;
    private static final InstanceId SELF = new InstanceId("i0");

    @Nested
    class OneOwner {
        private final LoadTicketOwner owner = new LoadTicketOwner(SELF, HASHER);
        private final List<String> granted = new ArrayList<>();
        private Instant now = START;

        private void handle(TicketOwnerEvent event) {
            for (TicketOwnerCommand command : owner.handle(event, now)) {
                if (command instanceof SendGrant grant) {
                    granted.add(grant.operation().value());
                }
            }
        }

        private void request(String name, int deadlineSeconds, boolean prewarming) {
            LoadTurn turn =
                    new LoadTurn(
                            new OperationId(name),
                            TicketKind.MODEL,
                            START.plusSeconds(deadlineSeconds),
                            prewarming,
                            Duration.ofSeconds(30));
            handle(new TurnRequested(SELF, turn, 1));
        }

        private void advance(Duration time) {
            now = now.plus(time);
            handle(new OwnerTick());
        }

        private void occupyAllTickets() {
            handle(new OwnerViewChanged(List.of(SELF)));
            for (int index = 0; index < 4; index++) {
                request("first-" + index, 10, false);
            }
            granted.clear();
        }

        /**
         * Turns with different deadlines wait for the same tickets. Guards against granting them in
         * order of arrival, and against granting prewarming before loads that requests wait for.
         */
        @Test
        void grantsEarliestDeadlineFirstAndPrewarmingLast() {
            occupyAllTickets();
            request("prewarming", 1, true);
            request("late", 90, false);
            request("soon", 20, false);
            for (int index = 0; index < 3; index++) {
                advance(Duration.ofSeconds(2));
                handle(new TurnReturned(SELF, new OperationId("first-" + index), 1));
            }
            assertEquals(List.of("soon", "late", "prewarming"), granted);
        }

        /**
         * A load ends in less than a second and its ticket becomes free. Guards against granting
         * the ticket again immediately, which would exceed the loads per second that the weight
         * store can bear.
         */
        @Test
        void grantsTicketAtMostOncePerSecond() {
            occupyAllTickets();
            request("next", 20, false);
            handle(new TurnReturned(SELF, new OperationId("first-0"), 1));
            advance(Duration.ofMillis(999));
            assertEquals(List.of(), granted);
            advance(Duration.ofMillis(1));
            assertEquals(List.of("next"), granted);
        }

        /**
         * The instance that was granted a turn fails and never returns it. Guards against a ticket
         * that is never granted again.
         */
        @Test
        void grantsTicketAgainWhenPreviousGrantHasExpired() {
            occupyAllTickets();
            advance(Duration.ofSeconds(34));
            request("next", 60, false);
            assertEquals(List.of(), granted);
            advance(Duration.ofSeconds(2));
            assertEquals(List.of("next"), granted);
        }

        /**
         * A return may be delayed and arrive after a newer request of the same load was granted.
         * Guards against ending the newer grant.
         */
        @Test
        void ignoresReturnOfEarlierRequest() {
            occupyAllTickets();
            request("next", 60, false);
            handle(new TurnReturned(SELF, new OperationId("first-0"), 0));
            advance(Duration.ofSeconds(2));
            assertEquals(List.of(), granted);
        }

        /**
         * Loads become slow because the weight store is overloaded. Guards against sending it as
         * many concurrent loads as before, against halving more than once for the same slow period,
         * and against never using the tickets again.
         */
        @Test
        void slowLoadHalvesTicketsInUseAndEachMinuteWithoutOneAddsOne() {
            handle(new OwnerViewChanged(List.of(SELF)));
            handle(new LoadWasSlow(TicketKind.MODEL));
            handle(new LoadWasSlow(TicketKind.MODEL));
            assertEquals(2, owner.ticketsInUse(TicketKind.MODEL));
            advance(Duration.ofSeconds(10));
            handle(new LoadWasSlow(TicketKind.MODEL));
            assertEquals(1, owner.ticketsInUse(TicketKind.MODEL));
            request("a", 10, false);
            request("b", 10, false);
            assertEquals(List.of("a"), granted);
            for (int tickets = 2; tickets <= 4; tickets++) {
                advance(Duration.ofSeconds(59));
                assertEquals(tickets - 1, owner.ticketsInUse(TicketKind.MODEL));
                advance(Duration.ofSeconds(1));
                assertEquals(tickets, owner.ticketsInUse(TicketKind.MODEL));
            }
            assertEquals(30, owner.ticketsInUse(TicketKind.ADAPTER));
        }
    }

    @Nested
    class Ownership {
        /**
         * One member is lost. Guards against reassigning tickets that this member did not own,
         * which would allow them to be granted twice for a time.
         */
        @Test
        void reassignsOnlyTicketsOfLostMember() {
            List<InstanceId> all =
                    IntStream.range(0, 8).mapToObj(i -> new InstanceId("i" + i)).toList();
            List<InstanceId> fewer = all.subList(1, 8);
            for (int index = 0; index < TicketKind.ADAPTER.tickets(); index++) {
                LoadTicket ticket = new LoadTicket(TicketKind.ADAPTER, index);
                InstanceId before = LoadTickets.owner(ticket, all, HASHER);
                InstanceId after = LoadTickets.owner(ticket, fewer, HASHER);
                assertNotEquals(SELF, after);
                assertTrue(before.equals(SELF) || before.equals(after));
            }
        }
    }

    @Nested
    class LostMessagesAndDifferingViews {
        /**
         * Messages are lost and the views of the instances differ for a time. Guards against more
         * concurrent loads or more grants per second than the tickets of the assumed owners allow,
         * and against turns that are never granted. TicketNetwork checks the limits at each step.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void keepsModelLoadLimitsAndServesAllTurnsWithLostMessagesAndDifferingViews(long seed) {
            new TicketNetwork(seed, TicketKind.MODEL, true).run(900);
        }

        /**
         * The same for adapters, which load in milliseconds. Guards against more concurrent adapter
         * loads than their 30 tickets allow.
         */
        @ParameterizedTest
        @ValueSource(longs = {11, 12})
        void keepsAdapterLoadLimitWithLostMessagesAndDifferingViews(long seed) {
            new TicketNetwork(seed, TicketKind.ADAPTER, true).run(120);
        }

        /**
         * Messages are lost but all instances have the same view, so each ticket has exactly one
         * owner. Guards against more than four concurrent loads in this case.
         */
        @ParameterizedTest
        @ValueSource(longs = {21, 22, 23, 24})
        void keepsFourModelLoadsWhenAllViewsAgree(long seed) {
            new TicketNetwork(seed, TicketKind.MODEL, false).run(900);
        }
    }
}
