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

        private void pass(Duration time) {
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

        /** Guards against serving turns in the order of arrival or prewarming before requests. */
        @Test
        void grantsNearestDeadlineFirstAndPrewarmingLast() {
            occupyAllTickets();
            request("prewarming", 1, true);
            request("late", 90, false);
            request("soon", 20, false);
            for (int index = 0; index < 3; index++) {
                pass(Duration.ofSeconds(2));
                handle(new TurnReturned(SELF, new OperationId("first-" + index), 1));
            }
            assertEquals(List.of("soon", "late", "prewarming"), granted);
        }

        /** Guards against more than one grant a second of the same ticket after quick loads. */
        @Test
        void grantsATicketAtMostOnceASecond() {
            occupyAllTickets();
            request("next", 20, false);
            handle(new TurnReturned(SELF, new OperationId("first-0"), 1));
            pass(Duration.ofMillis(999));
            assertEquals(List.of(), granted);
            pass(Duration.ofMillis(1));
            assertEquals(List.of("next"), granted);
        }

        /** Guards against a ticket that stays blocked when its holder died. */
        @Test
        void freesAnExpiredGrant() {
            occupyAllTickets();
            pass(Duration.ofSeconds(34));
            request("next", 60, false);
            assertEquals(List.of(), granted);
            pass(Duration.ofSeconds(2));
            assertEquals(List.of("next"), granted);
        }

        /** Guards against a late return of an earlier request that ends a newer grant. */
        @Test
        void ignoresTheReturnOfAnEarlierRequest() {
            occupyAllTickets();
            request("next", 60, false);
            handle(new TurnReturned(SELF, new OperationId("first-0"), 0));
            pass(Duration.ofSeconds(2));
            assertEquals(List.of(), granted);
        }

        /** Guards against a slow weight store that keeps getting as many loads as before. */
        @Test
        void slownessHalvesTheTicketsAndEachNormalMinuteAddsOne() {
            handle(new OwnerViewChanged(List.of(SELF)));
            handle(new LoadWasSlow(TicketKind.MODEL));
            handle(new LoadWasSlow(TicketKind.MODEL));
            assertEquals(2, owner.ticketsInUse(TicketKind.MODEL));
            pass(Duration.ofSeconds(10));
            handle(new LoadWasSlow(TicketKind.MODEL));
            assertEquals(1, owner.ticketsInUse(TicketKind.MODEL));
            request("a", 10, false);
            request("b", 10, false);
            assertEquals(List.of("a"), granted);
            for (int tickets = 2; tickets <= 4; tickets++) {
                pass(Duration.ofSeconds(59));
                assertEquals(tickets - 1, owner.ticketsInUse(TicketKind.MODEL));
                pass(Duration.ofSeconds(1));
                assertEquals(tickets, owner.ticketsInUse(TicketKind.MODEL));
            }
            assertEquals(30, owner.ticketsInUse(TicketKind.ADAPTER));
        }
    }

    @Nested
    class Ownership {
        /** Guards against a membership change that moves more than the lost member's tickets. */
        @Test
        void movesOnlyWhatTheLostMemberOwned() {
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
    class LostMessagesAndDisagreement {
        /**
         * Guards against more concurrent loads, or more grants a second, than owners allow; and
         * against requests that wait for ever. TicketNetwork checks the limits at each step.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void keepLimitsAndServeAll(long seed) {
            new TicketNetwork(seed, TicketKind.MODEL, true).run(900);
        }

        /** Guards against adapter loads beyond 30 in flight. */
        @ParameterizedTest
        @ValueSource(longs = {11, 12})
        void keepTheLimitOfAdapters(long seed) {
            new TicketNetwork(seed, TicketKind.ADAPTER, true).run(120);
        }

        /** Guards against a limit that is exceeded although all instances agree. */
        @ParameterizedTest
        @ValueSource(longs = {21, 22, 23, 24})
        void neverExceedFourWhileAllAgree(long seed) {
            new TicketNetwork(seed, TicketKind.MODEL, false).run(900);
        }
    }
}
