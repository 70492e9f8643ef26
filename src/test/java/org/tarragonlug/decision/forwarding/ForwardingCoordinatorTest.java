package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;

class ForwardingCoordinatorTest {
    private static ForwardingCommand.Send requireSend(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).orElseThrow();
    }

    private static ForwardingCommand.Refuse requireRefuse(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Refuse.class).orElseThrow();
    }

    private static ForwardingCommand.Fail requireFail(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Fail.class).orElseThrow();
    }

    @Nested
    class Routing {
        @Test
        void refusesRequestAndSuggestsRetryWithoutConfiguration() {
            ForwardingFixture fixture = new ForwardingFixture();
            ForwardingCommand.Refuse refusal = requireRefuse(fixture.arrive("/read/1", ""));
            assertEquals(RefusalReason.NO_CONFIGURATION, refusal.reason());
            assertTrue(refusal.retryAfter().isPresent());
        }

        @Test
        void selectsRouteWithLongestMatchingPrefix() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("engine", ENGINES, "m")
                            .withServer("record", RECORDS);
            assertEquals(
                    new ServerId("engine"),
                    requireSend(fixture.arrive("/read/deep/1", "m")).server());
            assertEquals(
                    new ServerId("record"), requireSend(fixture.arrive("/read/1", "")).server());
        }

        @Test
        void refusesRequestWithoutMatchingRoute() {
            ForwardingFixture fixture = new ForwardingFixture().withRoutes();
            assertEquals(
                    RefusalReason.NO_ROUTE, requireRefuse(fixture.arrive("/other/", "")).reason());
        }

        @Test
        void sendsNoRequestToLeavingServer() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", RECORDS)
                            .withServer("two", RECORDS)
                            .withLeavingServer("one", RECORDS);
            for (int count = 0; count < 10; count++) {
                assertEquals(
                        new ServerId("two"), requireSend(fixture.arrive("/read/1", "")).server());
            }
        }
    }

    /** The only server with a model crashes, and its listing stays. */
    @Nested
    class LostServers {
        private static final ServerId LOST = new ServerId("lost");

        private final ForwardingFixture fixture =
                new ForwardingFixture().withRoutes().withServer("lost", ENGINES, "m");

        private List<ForwardingCommand> reject(List<ForwardingCommand> sent, Rejection rejection) {
            long key = requireSend(sent).request();
            return fixture.handle(
                    new ForwardingEvent.Rejected(
                            fixture.attempt(key), rejection, Optional.empty()));
        }

        /**
         * Guards against refusals because the address of a crashed server belongs to another one.
         * The retries were used up there, although a model that is loaded elsewhere within the
         * caller's time could have served the request.
         */
        @Test
        void requestWaitsUntilAnotherServerHoldsItsModel() {
            List<ForwardingCommand> sent = fixture.arrive("/read/deep/1", "m");
            for (long pauseMillis : new long[] {720, 1420, 2820}) {
                reject(sent, Rejection.WRONG_SERVER);
                sent = fixture.advance(Duration.ofMillis(pauseMillis));
            }
            reject(sent, Rejection.WRONG_SERVER);
            ServerListing another = fixture.listing("another", ENGINES, "m");
            List<ForwardingCommand> commands =
                    fixture.handle(new ForwardingEvent.ServerListed(another));
            assertEquals(new ServerId("another"), requireSend(commands).server());
        }

        /** Guards against attempts in quick succession at a server that stays unreachable. */
        @Test
        void pausesBetweenAttemptsGrow() {
            List<ForwardingCommand> sent = fixture.arrive("/ask/1", "m");
            reject(sent, Rejection.UNREACHABLE);
            sent = fixture.advance(Duration.ofMillis(720));
            reject(sent, Rejection.UNREACHABLE);
            sent = fixture.advance(Duration.ofMillis(1300));
            assertTrue(find(sent, ForwardingCommand.Send.class).isEmpty());
        }

        /** Guards against requests that each find out for themselves that a server is lost. */
        @Test
        void suspectedServerGetsNoRequestThatAnotherServerCanServe() {
            fixture.withServer("other", ENGINES, "m");
            fixture.handle(new ForwardingEvent.LoadAnnounced(Map.of(), Set.of(LOST)));
            for (int count = 0; count < 8; count++) {
                assertEquals(
                        new ServerId("other"), requireSend(fixture.arrive("/ask/1", "m")).server());
            }
        }

        /** Guards against refusals because other instances cannot reach a server. */
        @Test
        void suspectedServerGetsRequestsThatNoOtherServerCanServe() {
            fixture.handle(new ForwardingEvent.LoadAnnounced(Map.of(), Set.of(LOST)));
            assertEquals(LOST, requireSend(fixture.arrive("/ask/1", "m")).server());
        }
    }

    /** Guards against a second run of a request that must run at most once. */
    @Nested
    class NonIdempotentRequests {
        private final ForwardingFixture fixture =
                new ForwardingFixture()
                        .withRoutes()
                        .withServer("one", RECORDS)
                        .withServer("two", RECORDS);

        @Test
        void failsNonIdempotentRequestWhenConnectionBreaks() {
            long key = requireSend(fixture.arrive("/issue/1", "")).request();
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ConnectionBroken(
                                    fixture.attempt(key), AnswerProgress.NOTHING));
            assertEquals(FailureReason.SERVER_LOST, requireFail(commands).reason());
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
        }

        @Test
        void failsInsteadOfRefusingNonIdempotentRequestAtDeadline() {
            requireSend(fixture.arrive("/issue/1", ""));
            List<ForwardingCommand> commands = fixture.advance(Duration.ofSeconds(7));
            assertEquals(FailureReason.TIME_OVER, requireFail(commands).reason());
            assertTrue(find(commands, ForwardingCommand.Refuse.class).isEmpty());
        }

        @Test
        void retriesRejectedRequestAtAnotherServer() {
            ForwardingCommand.Send first = requireSend(fixture.arrive("/issue/1", ""));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.Rejected(
                                    fixture.attempt(first.request()),
                                    Rejection.BUSY,
                                    Optional.empty()));
            assertNotEquals(first.server(), requireSend(commands).server());
        }

        /**
         * Guards against sending a request again and again to a server that is unloading the
         * request's model. Its retries were used up within 20 ms, and the caller was refused.
         */
        @Test
        void requestWaitsForModelThatItsServerUnloads() {
            fixture.withServer("e9", ForwardingFixture.ENGINES, "rare");
            ForwardingCommand.Send send = requireSend(fixture.arrive("/score/1", "rare"));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.Rejected(
                                    fixture.attempt(send.request()),
                                    Rejection.BUSY,
                                    Optional.of(new ReportedLoad(1, 0, 8))));
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
            assertTrue(find(commands, ForwardingCommand.ReportWaiting.class).isPresent());
        }

        /** Guards against using up all retries at the only server, whose queue is full. */
        @Test
        void requestLeavesFullServerAloneForAMoment() {
            fixture.withServer("e9", ForwardingFixture.ENGINES, "rare");
            ForwardingCommand.Send send = requireSend(fixture.arrive("/score/1", "rare"));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.Rejected(
                                    fixture.attempt(send.request()),
                                    Rejection.BUSY,
                                    Optional.of(new ReportedLoad(8, 24, 8))));
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
            assertEquals(
                    send.server(), requireSend(fixture.advance(Duration.ofMillis(200))).server());
        }

        /**
         * Guards against callers who come back to a queue that has not moved. A caller who is
         * refused twice is not served at all.
         */
        @Test
        void callerComesBackWhenTheQueueOfTheFullServerHasMoved() {
            ForwardingFixture full =
                    new ForwardingFixture().withRoutes().withServer("only", ENGINES, "m");
            List<ForwardingCommand> commands = full.arrive("/ask/1", "m");
            Optional<ReportedLoad> load = Optional.of(new ReportedLoad(8, 16, 8));
            while (find(commands, ForwardingCommand.Refuse.class).isEmpty()) {
                long key = requireSend(commands).request();
                commands =
                        new ArrayList<>(
                                full.handle(
                                        new ForwardingEvent.Rejected(
                                                full.attempt(key), Rejection.BUSY, load)));
                commands.addAll(full.advance(Duration.ofMillis(200)));
            }
            Duration delay = requireRefuse(commands).retryAfter().orElseThrow();
            assertTrue(delay.compareTo(Duration.ofSeconds(1)) >= 0, "retry after " + delay);
        }

        @Test
        void refusesRequestWhenAllServersRejectIt() {
            List<ForwardingCommand> commands = fixture.arrive("/issue/1", "");
            for (int count = 0; count < 10; count++) {
                Optional<ForwardingCommand.Send> send =
                        find(commands, ForwardingCommand.Send.class);
                if (send.isEmpty()) {
                    break;
                }
                commands =
                        fixture.handle(
                                new ForwardingEvent.Rejected(
                                        fixture.attempt(send.get().request()),
                                        Rejection.BUSY,
                                        Optional.empty()));
            }
            assertEquals(RefusalReason.TURNED_AWAY, requireRefuse(commands).reason());
        }
    }

    /** More requests than the servers can serve in time, as when one model becomes popular. */
    @Nested
    class Urgency {
        private final ForwardingFixture fixture =
                new ForwardingFixture()
                        .withRoutes()
                        .withServer("e1", ForwardingFixture.ENGINES, "busy");

        /**
         * Guards against one queue in order of arrival, in which all answers are late as soon as
         * requests come faster than they are served.
         */
        @Test
        void requestsOfOneKindGetSeveralRanks() {
            Set<Integer> ranks = new HashSet<>();
            for (int count = 0; count < 30; count++) {
                ranks.add(requireSend(fixture.arrive("/ask/1", "busy")).urgency());
            }
            assertEquals(3, ranks.size(), ranks.toString());
        }

        /** Guards against late requests that delay others which can still be in time. */
        @Test
        void lateRequestGoesBehindOthers() {
            ForwardingCommand.Send first = requireSend(fixture.arrive("/ask/1", "busy"));
            fixture.advance(Duration.ofMillis(500));
            fixture.handle(
                    new ForwardingEvent.ConnectionBroken(
                            fixture.attempt(first.request()), AnswerProgress.NOTHING));
            ForwardingCommand.Send late = requireSend(fixture.advance(Duration.ofMillis(500)));
            for (int count = 0; count < 30; count++) {
                int fresh = requireSend(fixture.arrive("/ask/1", "busy")).urgency();
                assertTrue(fresh < late.urgency(), fresh + ", late " + late.urgency());
            }
        }

        /** Guards against a request that waits again at the server after the load of its model. */
        @Test
        void requestThatWaitedForItsModelGoesFirst() {
            fixture.arrive("/ask/1", "rare");
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ServerListed(
                                    fixture.listing("e2", ForwardingFixture.ENGINES, "rare")));
            int waited = requireSend(commands).urgency();
            for (int count = 0; count < 30; count++) {
                int fresh = requireSend(fixture.arrive("/ask/1", "busy")).urgency();
                assertTrue(waited <= fresh, fresh + ", waited " + waited);
            }
        }
    }

    /** The process stops at a stated time. */
    @Nested
    class Stop {
        private final ForwardingFixture fixture =
                new ForwardingFixture()
                        .withRoutes()
                        .withServer("one", RECORDS)
                        .withServer("two", ENGINES, "m");

        private void stopIn(Duration time) {
            fixture.handle(new ForwardingEvent.StopScheduled(fixture.now.plus(time)));
        }

        // Guards against requests that end with the process, so that nobody knows if they ran.
        @Test
        void requestAtServerFailsAndWaitingRequestIsRefusedAtTheStop() {
            requireSend(fixture.arrive("/issue/1", ""));
            fixture.arrive("/score/1", "cold");
            stopIn(Duration.ofSeconds(2));
            List<ForwardingCommand> before = fixture.advance(Duration.ofMillis(1900));
            assertTrue(find(before, ForwardingCommand.Fail.class).isEmpty());
            assertTrue(find(before, ForwardingCommand.Refuse.class).isEmpty());
            List<ForwardingCommand> commands = fixture.advance(Duration.ofMillis(200));
            assertEquals(
                    FailureReason.TIME_OVER,
                    find(commands, ForwardingCommand.Fail.class).orElseThrow().reason());
            assertEquals(RefusalReason.STOPPING, requireRefuse(commands).reason());
        }

        // Guards against servers that work on a request when nobody will receive the answer.
        @Test
        void serverGetsNoMoreTimeThanIsLeftUntilTheStop() {
            stopIn(Duration.ofSeconds(2));
            Duration remaining = requireSend(fixture.arrive("/issue/1", "")).remaining();
            assertTrue(remaining.compareTo(Duration.ofSeconds(2)) <= 0, remaining.toString());
        }

        // Guards against requests that are passed on and cut off at once.
        @Test
        void requestAfterTheStopIsRefused() {
            stopIn(Duration.ofSeconds(2));
            fixture.advance(Duration.ofSeconds(2));
            List<ForwardingCommand> commands = fixture.arrive("/issue/1", "");
            assertEquals(RefusalReason.STOPPING, requireRefuse(commands).reason());
        }
    }

    @Nested
    class Retries {
        @Test
        void retriesIdempotentRequestAtAnotherServerAfterServerError() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", RECORDS)
                            .withServer("two", RECORDS);
            ForwardingCommand.Send first = requireSend(fixture.arrive("/read/1", ""));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.Answered(
                                    fixture.attempt(first.request()), 500, Optional.empty()));
            ForwardingCommand.Send second = requireSend(commands);
            assertNotEquals(first.server(), second.server());
            commands =
                    fixture.handle(
                            new ForwardingEvent.Answered(
                                    fixture.attempt(first.request()), 500, Optional.empty()));
            assertTrue(find(commands, ForwardingCommand.RelayAnswer.class).isPresent());
        }

        @Test
        void resumesBrokenStreamAfterLastRelayedEvent() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", ENGINES, "m")
                            .withServer("two", ENGINES, "m");
            ForwardingCommand.Send first = requireSend(fixture.arrive("/ask/1", "m"));
            long key = first.request();
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(key), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), 3));
            ForwardingCommand.Send second =
                    requireSend(
                            fixture.handle(
                                    new ForwardingEvent.ConnectionBroken(
                                            fixture.attempt(key), AnswerProgress.NOTHING)));
            assertEquals(3, second.lastEventId());
            assertNotEquals(first.server(), second.server());
        }

        // Guards against a resumption from the beginning of a stream whose caller has events.
        @Test
        void relayedEventsNeverCountBackwards() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", ENGINES, "m")
                            .withServer("two", ENGINES, "m");
            long key = requireSend(fixture.arrive("/ask/1", "m")).request();
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(key), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), 3));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), -1));
            ForwardingCommand.Send second =
                    requireSend(
                            fixture.handle(
                                    new ForwardingEvent.ConnectionBroken(
                                            fixture.attempt(key), AnswerProgress.CONTENT)));
            assertEquals(3, second.lastEventId());
        }

        /**
         * Guards against a request that uses up its attempts within a millisecond. When a server
         * crashes, its other connections break a moment after the first, so a retry that is sent to
         * the same server at once breaks as well.
         */
        @Test
        void delaysRetryAtServerWhoseConnectionBroke() {
            ForwardingFixture fixture =
                    new ForwardingFixture().withRoutes().withServer("one", ENGINES, "m");
            long key = requireSend(fixture.arrive("/ask/1", "m")).request();
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ConnectionBroken(
                                    fixture.attempt(key), AnswerProgress.NOTHING));
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
            assertTrue(find(commands, ForwardingCommand.Fail.class).isEmpty());
            commands = fixture.advance(Duration.ofMillis(600));
            assertEquals(new ServerId("one"), requireSend(commands).server());
        }

        @Test
        void failsBrokenStreamThatIsNotResumable() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", ENGINES, "m")
                            .withServer("two", ENGINES, "m");
            long key = requireSend(fixture.arrive("/score/1", "m")).request();
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(key), Optional.empty()));
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ConnectionBroken(
                                    fixture.attempt(key), AnswerProgress.NOTHING));
            assertEquals(FailureReason.SERVER_LOST, requireFail(commands).reason());
        }

        /**
         * Guards against a stream that hangs until its deadline. A server that became unreachable
         * keeps its connections open but sends nothing, so no connection error is reported.
         */
        @Test
        void movesStreamFromSilentServerToAnotherServer() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", ENGINES, "m")
                            .withServer("two", ENGINES, "m");
            ForwardingCommand.Send first = requireSend(fixture.arrive("/ask/1", "m"));
            List<ForwardingCommand> commands = fixture.advance(Duration.ofMillis(1200));
            ForwardingCommand.Send second = requireSend(commands);
            assertNotEquals(first.server(), second.server());
            commands =
                    fixture.handle(
                            new ForwardingEvent.StreamStarted(second.attempt(), Optional.empty()));
            ForwardingCommand.CancelAttempt cancel =
                    find(commands, ForwardingCommand.CancelAttempt.class).orElseThrow();
            assertEquals(first.attempt(), cancel.attempt());
        }

        /**
         * Guards against a begun stream that is broken off because other servers are full for a
         * moment. It was given up within half a second, with seconds of its caller's time left.
         */
        @Test
        void begunStreamWaitsForFullServers() {
            ForwardingFixture fixture =
                    new ForwardingFixture()
                            .withRoutes()
                            .withServer("one", ENGINES, "m")
                            .withServer("two", ENGINES, "m");
            long key = requireSend(fixture.arrive("/ask/1", "m")).request();
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(key), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(key), 0));
            List<ForwardingCommand> commands =
                    new ArrayList<>(
                            fixture.handle(
                                    new ForwardingEvent.ConnectionBroken(
                                            fixture.attempt(key), AnswerProgress.NOTHING)));
            ReportedLoad full = new ReportedLoad(8, 16, 8);
            for (int rejection = 0; rejection < 5; rejection++) {
                if (find(commands, ForwardingCommand.Send.class).isEmpty()) {
                    commands.addAll(fixture.advance(Duration.ofMillis(900)));
                }
                requireSend(commands);
                commands =
                        new ArrayList<>(
                                fixture.handle(
                                        new ForwardingEvent.Rejected(
                                                fixture.attempt(key),
                                                Rejection.BUSY,
                                                Optional.of(full))));
                assertTrue(find(commands, ForwardingCommand.Fail.class).isEmpty());
            }
        }

        @Test
        void cancelsAttemptWhenCallerDisconnects() {
            ForwardingFixture fixture =
                    new ForwardingFixture().withRoutes().withServer("one", ENGINES, "m");
            long key = requireSend(fixture.arrive("/ask/1", "m")).request();
            List<ForwardingCommand> commands =
                    fixture.handle(new ForwardingEvent.CallerDisconnected(key));
            assertTrue(find(commands, ForwardingCommand.CancelAttempt.class).isPresent());
            assertEquals(0, fixture.coordinator.pendingCount());
        }
    }

    /** Requests for a model that no server holds. */
    @Nested
    class WaitingRequests {
        private final ForwardingFixture fixture =
                new ForwardingFixture().withRoutes().withServer("one", ENGINES, "other");

        @Test
        void reportsWaitingRequestAndSendsItOnceModelIsListed() {
            List<ForwardingCommand> commands = fixture.arrive("/score/1", "m");
            assertEquals(
                    ModelKey.parse("m"),
                    find(commands, ForwardingCommand.ReportWaiting.class).orElseThrow().key());
            fixture.advance(Duration.ofMillis(500));
            commands =
                    fixture.handle(
                            new ForwardingEvent.ServerListed(
                                    fixture.listing("one", ENGINES, "other", "m")));
            assertEquals(new ServerId("one"), requireSend(commands).server());
        }

        @Test
        void sendsWaitingRequestOncePlannerAnnouncesReplica() {
            fixture.arrive("/score/1", "m/a1");
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.ReplicaAnnounced(
                                    new ServerId("one"),
                                    ModelKey.parse("m/a1"),
                                    true,
                                    fixture.now.plusSeconds(2)));
            assertEquals(new ServerId("one"), requireSend(commands).server());
        }

        @Test
        void refusesRequestAtOnceWhenModelIsExpectedTooLate() {
            fixture.handle(
                    new ForwardingEvent.ModelReadyExpected(
                            ENGINES, ModelKey.parse("m"), fixture.now.plusSeconds(30)));
            ForwardingCommand.Refuse refusal = requireRefuse(fixture.arrive("/ask/1", "m"));
            assertEquals(RefusalReason.MODEL_NOT_READY, refusal.reason());
        }

        @Test
        void refusesWaitingRequestWhenCallerPatienceEnds() {
            fixture.arrive("/ask/1", "m");
            List<ForwardingCommand> commands = fixture.advance(Duration.ofSeconds(4));
            assertEquals(RefusalReason.TIME_OVER, requireRefuse(commands).reason());
        }

        /**
         * Guards against a waiting request that gets no answer. A stopping process used to exit
         * while requests were still waiting for a server.
         */
        @Test
        void refusesWaitingAndNewRequestsOnceQueueIsClosed() {
            fixture.arrive("/score/1", "m");
            List<ForwardingCommand> commands = fixture.handle(new ForwardingEvent.QueueClosed());
            assertEquals(RefusalReason.STOPPING, requireRefuse(commands).reason());
            assertEquals(
                    RefusalReason.STOPPING,
                    requireRefuse(fixture.arrive("/score/2", "m")).reason());
        }

        @Test
        void sendsNoRequestToReplicaBeingUnloaded() {
            fixture.handle(
                    new ForwardingEvent.ReplicaAnnounced(
                            new ServerId("one"),
                            ModelKey.parse("other"),
                            false,
                            fixture.now.plusSeconds(2)));
            List<ForwardingCommand> commands = fixture.arrive("/score/1", "other");
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
        }
    }

    /** Limits that apply when callers cause many retries at once. */
    @Nested
    class RetryLimits {
        @Test
        void limitsRetriesToShareOfFirstSendsAndAllowance() {
            RetryBudget budget =
                    new RetryBudget(Duration.ofSeconds(10), 0.2, 40, new InstanceCount(8));
            ForwardingFixture clock = new ForwardingFixture();
            int allowed = 0;
            for (int count = 0; count < 100; count++) {
                budget.recordFirstSend(clock.now);
                allowed += budget.tryAcquire(clock.now) ? 1 : 0;
            }
            assertTrue(allowed <= 0.2 * 100 + 40 / 8.0, "allowed " + allowed);
            assertTrue(allowed >= 15, "allowed " + allowed);
        }

        /**
         * Guards against a request that asks all servers within moments, and uses up the budget for
         * retries, because its own server is silent and the others are full.
         */
        @Test
        void asksFurtherServersAtGrowingIntervals() {
            ForwardingFixture fixture = new ForwardingFixture().withRoutes();
            for (int count = 1; count <= 8; count++) {
                fixture.withServer("s".repeat(count), ENGINES, "m");
            }
            ForwardingCommand.Send first = requireSend(fixture.arrive("/ask/1", "m"));
            fixture.handle(new ForwardingEvent.StreamStarted(first.attempt(), Optional.empty()));
            int backups = 0;
            for (Instant end = fixture.now.plusMillis(2200); fixture.now.isBefore(end); ) {
                List<ForwardingCommand> commands = fixture.advance(Duration.ofMillis(20));
                Optional<ForwardingCommand.Send> send =
                        find(commands, ForwardingCommand.Send.class);
                backups += send.isPresent() ? 1 : 0;
                send.ifPresent(
                        each ->
                                fixture.handle(
                                        new ForwardingEvent.Rejected(
                                                each.attempt(),
                                                Rejection.BUSY,
                                                Optional.of(new ReportedLoad(8, 16, 8)))));
            }
            assertTrue(backups >= 2 && backups <= 3, backups + " in a second of silence");
        }

        /**
         * Guards against exceeding the retry allowance of the platform. If each of 74 instances
         * took the share for the configured 12 instances, together they would use six times the
         * allowance.
         */
        @Test
        void dividesAllowanceByCountedInstances() {
            InstanceCount instances = new InstanceCount(12);
            ForwardingFixture clock = new ForwardingFixture();
            instances.update(74, clock.now);
            RetryBudget budget = new RetryBudget(Duration.ofSeconds(10), 0.2, 188, instances);
            int allowed = 0;
            for (int count = 0; count < 100; count++) {
                allowed += budget.tryAcquire(clock.now) ? 1 : 0;
            }
            assertTrue(allowed * 74 <= 188, "allowed " + allowed + " at each of 74");
        }

        /**
         * Guards against exceeding the allowance during a network partition. The separated
         * instances are missing from the count but keep using their shares.
         */
        @Test
        void keepsLargestInstanceCountDuringPartition() {
            InstanceCount instances = new InstanceCount(12);
            ForwardingFixture clock = new ForwardingFixture();
            instances.update(74, clock.now);
            instances.update(40, clock.now.plusSeconds(5));
            assertEquals(74, instances.current());
            instances.update(40, clock.now.plusSeconds(26));
            assertEquals(40, instances.current());
        }
    }
}
