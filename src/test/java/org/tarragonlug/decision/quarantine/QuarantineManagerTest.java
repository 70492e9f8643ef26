package org.tarragonlug.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/** Instances that share the evidence of crashing requests, in virtual time. */
class QuarantineManagerTest {
    private static final RequestTrait BAD = new RequestTrait(RequestTrait.Kind.PART, "bad");
    private static final RequestTrait SHARED = new RequestTrait(RequestTrait.Kind.PART, "shared");

    private final QuarantineNetwork network = new QuarantineNetwork();
    private final QuarantineNetwork.Instance planner =
            network.start("planner", QuarantineRole.DECIDES);
    private final QuarantineNetwork.Instance first = network.start("first", QuarantineRole.FOLLOWS);
    private final QuarantineNetwork.Instance second =
            network.start("second", QuarantineRole.FOLLOWS);
    private int requests;
    private int servers;

    private LostRequest request(RequestTrait... parts) {
        requests++;
        return new LostRequest(
                new RequestTrait(RequestTrait.Kind.CONTENT, "c" + requests), Arrays.asList(parts));
    }

    /** Lets a request with the bad part crash a server that an instance had sent it to. */
    private ServerIncarnation crashAt(QuarantineNetwork.Instance instance) {
        servers++;
        ServerIncarnation lost = network.crash(servers);
        instance.lose(lost, request(SHARED, BAD));
        network.advanceMillis(200);
        return lost;
    }

    private void convictBad() {
        crashAt(first);
        crashAt(second);
        crashAt(first);
        network.advanceMillis(300);
    }

    private static void assertQuarantined(
            Set<RequestTrait> expected, QuarantineNetwork.Instance... instances) {
        for (QuarantineNetwork.Instance instance : instances) {
            assertEquals(expected, instance.quarantined(), instance.name);
        }
    }

    @Nested
    class Sharing {
        // Guards against evidence that stays with the instances whose servers were lost.
        @Test
        void lossesAtDifferentInstancesQuarantineThePartEverywhere() {
            convictBad();
            assertQuarantined(Set.of(BAD), planner, first, second);
            assertEquals(Set.of(BAD), network.stored);
        }

        // Guards against an instance that has just started and lets crashing requests pass.
        @Test
        void instanceThatStartsLaterKnowsTheQuarantine() {
            convictBad();
            network.advance(Duration.ofSeconds(5));
            QuarantineNetwork.Instance late = network.start("late", QuarantineRole.ALONE);
            assertQuarantined(Set.of(BAD), late);
        }

        // Guards against a quarantine that ends with the process of the planner.
        @Test
        void nextPlannerKeepsTheQuarantineWhileTheStoreIsDown() {
            network.storeDown = true;
            convictBad();
            planner.stop();
            network.advanceMillis(1500);
            first.become(QuarantineRole.DECIDES);
            network.advance(Duration.ofSeconds(10));
            assertQuarantined(Set.of(BAD), first, second);
        }

        // Guards against evidence that is lost with the planner before it has decided.
        @Test
        void nextPlannerKnowsTheEvidenceOfLossesBeforeItsTurn() {
            crashAt(second);
            crashAt(second);
            planner.stop();
            first.become(QuarantineRole.DECIDES);
            second.become(QuarantineRole.FOLLOWS);
            crashAt(second);
            network.advanceMillis(500);
            assertQuarantined(Set.of(BAD), first, second);
        }

        // Guards against a planner that never received what an instance saw while it was cut off.
        @Test
        void evidenceOfAnInstanceThatWasCutOffReachesThePlannerAfterwards() {
            first.cutOffFromPeers = true;
            first.become(QuarantineRole.ALONE);
            crashAt(first);
            crashAt(first);
            first.cutOffFromPeers = false;
            first.become(QuarantineRole.FOLLOWS);
            network.advanceMillis(100);
            crashAt(second);
            network.advanceMillis(500);
            assertQuarantined(Set.of(BAD), planner, first, second);
        }
    }

    @Nested
    class CutOff {
        // Guards against an instance without peers whose requests crash one server after the other.
        @Test
        void instanceWithoutPlannerDecidesForItself() {
            first.cutOffFromPeers = true;
            first.become(QuarantineRole.ALONE);
            for (int count = 0; count < 3; count++) {
                network.advanceMillis(300);
                crashAt(first);
            }
            assertQuarantined(Set.of(BAD), first);
        }

        // Guards against an instance without peers that does not learn what the others decided.
        @Test
        void instanceWithoutPeersLearnsTheQuarantineFromTheStore() {
            second.cutOffFromPeers = true;
            second.become(QuarantineRole.ALONE);
            crashAt(first);
            crashAt(first);
            crashAt(first);
            network.advance(Duration.ofSeconds(1));
            assertQuarantined(Set.of(BAD), first, second);
        }

        // Guards against an instance that loses its own connections and blames its requests, to the
        // harm of all others.
        @Test
        void instanceThatReachesNoServerConvincesNobody() {
            first.cutOffFromPeers = true;
            first.become(QuarantineRole.ALONE);
            for (int number = 50; number < 58; number++) {
                first.unreachable.add(network.server(number));
                first.lose(network.server(number), request(SHARED), request(SHARED));
            }
            network.advance(Duration.ofSeconds(2));
            assertEquals(Set.of(), network.stored);
            first.cutOffFromPeers = false;
            first.become(QuarantineRole.FOLLOWS);
            network.advance(Duration.ofSeconds(1));
            assertQuarantined(Set.of(), planner, second);
        }

        // Guards against a quarantine that stays after the servers turned out to be alive.
        @Test
        void quarantineEndsWhenTheServersAnswerAgain() {
            first.cutOffFromPeers = true;
            first.become(QuarantineRole.ALONE);
            for (int number = 50; number < 53; number++) {
                first.unreachable.add(network.server(number));
                first.lose(network.server(number), request(SHARED), request(SHARED));
            }
            network.advance(Duration.ofSeconds(8));
            assertQuarantined(Set.of(SHARED), first);
            for (int number = 50; number < 53; number++) {
                first.post(
                        new QuarantineEvent.ServerAnswered(
                                network.server(number), network.now().minusMillis(20)));
            }
            assertQuarantined(Set.of(), first);
        }

        // Guards against a conviction that one instance alone knows although the list proves it.
        @Test
        void convictionOfInstanceWithoutPeersIsStoredOnceTheListConfirmsTheLosses() {
            first.cutOffFromPeers = true;
            first.become(QuarantineRole.ALONE);
            List<ServerIncarnation> lost = List.of(crashAt(first), crashAt(first), crashAt(first));
            network.advance(Duration.ofSeconds(1));
            assertEquals(Set.of(), network.stored);
            lost.forEach(each -> first.post(new QuarantineEvent.ServerGone(each)));
            network.advance(Duration.ofSeconds(1));
            assertEquals(Set.of(BAD), network.stored);
            assertQuarantined(Set.of(BAD), planner, first, second);
        }
    }

    @Nested
    class Connections {
        // Guards against blame for connections that broke while their server went on.
        @Test
        void brokenConnectionToLivingServerIsNoEvidence() {
            for (int number = 1; number <= 5; number++) {
                first.lose(network.server(number), request(SHARED, BAD));
                network.advanceMillis(300);
            }
            assertQuarantined(Set.of(), planner, first);
            assertEquals(0, planner.manager.suspectedCount());
        }

        // Guards against messages of which each concerns one request.
        @Test
        void connectionsToOneLostServerAreReportedTogether() {
            ServerIncarnation lost = network.crash(1);
            for (int number = 0; number < 20; number++) {
                first.lose(lost, request(SHARED));
            }
            network.advanceMillis(500);
            assertEquals(2, first.messages, "one report to each other instance");
        }
    }

    @Nested
    class Release {
        // Guards against sound requests that stay refused after a wrong conviction.
        @Test
        void answerToQuarantinedPartReleasesItEverywhere() {
            convictBad();
            second.answer(BAD);
            network.advanceMillis(300);
            assertQuarantined(Set.of(), planner, first, second);
            network.advance(Duration.ofSeconds(2));
            assertEquals(Set.of(), network.stored);
            assertEquals(List.of(BAD), planner.released);
        }

        // Guards against an answer from before the crashes whose report releases a part when it
        // arrives after the conviction.
        @Test
        void answerFromBeforeTheLossesDoesNotReleaseAPart() {
            second.answer(BAD);
            network.advanceMillis(500);
            first.lose(network.crash(1), request(BAD));
            network.advanceMillis(395);
            first.lose(network.crash(2), request(BAD));
            network.advanceMillis(5);
            planner.lose(network.crash(3), request(BAD));
            network.advance(Duration.ofSeconds(3));
            assertEquals(List.of(BAD), planner.convicted);
            assertEquals(List.of(), planner.released);
            assertQuarantined(Set.of(BAD), planner, first, second);
        }

        // Guards against a release that ends because the store is down and still has the part.
        @Test
        void releasedPartStaysReleasedWhileTheStoreIsDown() {
            convictBad();
            network.storeDown = true;
            planner.answer(BAD);
            network.advance(Duration.ofSeconds(40));
            assertQuarantined(Set.of(), planner);
        }

        // Guards against a part that an operator releases and the planner stores again.
        @Test
        void partThatIsRemovedFromTheStoreIsReleased() {
            convictBad();
            network.stored = Set.of();
            network.instances.values().forEach(QuarantineNetwork.Instance::readStore);
            network.advance(Duration.ofSeconds(5));
            assertQuarantined(Set.of(), planner, first, second);
            assertEquals(Set.of(), network.stored);
        }

        // Guards against sound parts that are convicted when many servers end at once.
        @Test
        void partThatOtherInstancesSeeAnsweredIsNotConvicted() {
            for (int number = 1; number <= 6; number++) {
                first.lose(network.crash(number), request(SHARED), request(SHARED));
            }
            network.advanceMillis(80);
            second.answer(SHARED);
            network.advance(Duration.ofSeconds(2));
            assertQuarantined(Set.of(), planner, first, second);
        }

        // Guards against parts that stay refused for good after they have been mended.
        @Test
        void oneTrialIsAllowedAfterAWhileAndLaterAfterEachFailure() {
            convictBad();
            network.advance(ConvictedTraits.FIRST_TRIAL_DELAY);
            assertEquals(List.of(BAD), planner.trials);
            assertTrue(first.trials.isEmpty(), "only the deciding instance tries");
            crashAt(planner);
            network.advance(ConvictedTraits.FIRST_TRIAL_DELAY.plusSeconds(5));
            assertEquals(1, planner.trials.size());
            network.advance(ConvictedTraits.FIRST_TRIAL_DELAY);
            assertEquals(2, planner.trials.size());
        }
    }

    @Nested
    class RestoredStores {
        private int writes() {
            return network.instances.values().stream().mapToInt(each -> each.storeWrites).sum();
        }

        // Guards against requests that crash servers being let through because the copy of the
        // store is from before the conviction.
        @Test
        void partThatTheCopyLacksStaysQuarantinedAndIsStoredByOneInstance() {
            convictBad();
            int before = writes();
            network.returnFrom(Set.of());
            assertQuarantined(Set.of(BAD), planner, first, second);
            network.advance(Duration.ofSeconds(20));
            assertQuarantined(Set.of(BAD), planner, first, second);
            assertEquals(List.of(), planner.released);
            assertEquals(Set.of(BAD), network.stored);
            assertEquals(1, writes() - before);
        }

        // Guards against sound requests being refused because the copy is from before a release.
        @Test
        void partThatWasReleasedSinceTheCopyStaysReleased() {
            convictBad();
            second.answer(BAD);
            network.advance(Duration.ofSeconds(20));
            int before = writes();
            network.returnFrom(Set.of(BAD));
            assertQuarantined(Set.of(), planner, first, second);
            network.advance(Duration.ofSeconds(20));
            assertQuarantined(Set.of(), planner, first, second);
            assertEquals(Set.of(), network.stored);
            assertEquals(1, writes() - before);
        }

        // Guards against an instance that keeps what it read before the return for good.
        @Test
        void copyThatAgreesIsWrittenOnceMore() {
            convictBad();
            network.advance(Duration.ofSeconds(3));
            int before = writes();
            network.returnFrom(Set.of(BAD));
            network.advance(Duration.ofSeconds(20));
            assertEquals(1, writes() - before);
        }

        // Guards against a quarantine that ends with its deciding instance, and against a write of
        // each instance.
        @Test
        void withoutDecidingInstanceTheNewestRecordThatWasReadHolds() {
            convictBad();
            network.advance(Duration.ofSeconds(1));
            planner.stop();
            first.become(QuarantineRole.ALONE);
            second.become(QuarantineRole.ALONE);
            int before = writes();
            network.returnFrom(Set.of());
            network.advance(Duration.ofSeconds(20));
            assertQuarantined(Set.of(BAD), first, second);
            assertEquals(before, writes());
            first.become(QuarantineRole.DECIDES);
            second.become(QuarantineRole.FOLLOWS);
            network.advance(Duration.ofSeconds(2));
            assertEquals(Set.of(BAD), network.stored);
        }

        // Guards against the copy's record being ignored by an instance that knows no other.
        @Test
        void newInstanceTakesTheRecordOfTheCopy() {
            network.storeDown = true;
            QuarantineNetwork.Instance started = network.start("new", QuarantineRole.ALONE);
            network.storeDown = false;
            network.returnFrom(Set.of(BAD));
            assertQuarantined(Set.of(BAD), started);
        }

        // Guards against a record of the copy that an instance missed, and that it takes for older.
        @Test
        void recordNewerThanAllThatWasReadIsTaken() {
            first.become(QuarantineRole.ALONE);
            first.post(new QuarantineEvent.StoreRestored());
            first.post(new QuarantineEvent.EarlierRecordRead(Set.of(BAD), true));
            assertQuarantined(Set.of(BAD), first);
        }

        // Guards against a write with a version of the lost store.
        @Test
        void nothingIsWrittenUntilTheRecordIsReadAgain() {
            network.instances
                    .values()
                    .forEach(each -> each.post(new QuarantineEvent.StoreRestored()));
            convictBad();
            assertEquals(0, writes());
            assertQuarantined(Set.of(BAD), planner, first, second);
        }
    }

    @Nested
    class Limits {
        // Guards against messages and calls to the store that go on without crashes.
        @Test
        void nothingIsSentOrStoredWithoutEvidence() {
            for (int second = 0; second < 60; second++) {
                first.answer(SHARED);
                network.advance(Duration.ofSeconds(1));
            }
            int messages =
                    network.instances.values().stream().mapToInt(each -> each.messages).sum();
            int writes =
                    network.instances.values().stream().mapToInt(each -> each.storeWrites).sum();
            assertEquals(0, messages);
            assertEquals(0, writes);
        }

        // Guards against calls to a store that is down, which are priced and slow it down further.
        @Test
        void writesToAStoreThatIsDownBecomeRare() {
            network.storeDown = true;
            convictBad();
            network.advance(Duration.ofSeconds(60));
            assertTrue(planner.storeWrites <= 12, planner.storeWrites + " writes");
        }

        // Guards against a part that is forgotten because single requests were convicted after it.
        @Test
        void partsOutlastManyConvictedContents() {
            convictBad();
            for (int number = 0; number < 300; number++) {
                LostRequest repeated = request();
                for (int count = 0; count < 3; count++) {
                    servers++;
                    planner.lose(network.crash(servers), repeated);
                    network.advanceMillis(120);
                }
            }
            network.advance(Duration.ofSeconds(1));
            assertTrue(planner.quarantined().contains(BAD));
            assertTrue(planner.quarantined().size() <= 256);
        }

        // Guards against tables and messages that grow with the number of crashing parts.
        @Test
        void manyCrashingPartsAreAllQuarantinedWithinBounds() {
            for (int part = 0; part < 60; part++) {
                RequestTrait bad = new RequestTrait(RequestTrait.Kind.PART, "bad-" + part);
                for (int count = 0; count < 3; count++) {
                    servers++;
                    first.lose(network.crash(servers), request(SHARED, bad));
                    second.answer(SHARED);
                    network.advanceMillis(120);
                }
            }
            network.advance(Duration.ofSeconds(1));
            assertEquals(60, planner.quarantined().size());
            assertQuarantined(planner.quarantined(), first, second);
            assertTrue(first.messages < 1000, first.messages + " messages");
        }
    }
}
