package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;

/** How requests that crash servers are kept from them, on each way that leads to a server. */
class ForwardingQuarantineTest {
    private static final RequestTrait BAD = new RequestTrait(RequestTrait.Kind.PART, "bad");
    private static final List<String> BAD_PARTS = List.of("shared", "caller", "bad");
    private static final List<String> SOUND_PARTS = List.of("shared", "caller", "good");

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();

    private void quarantine(RequestTrait... traits) {
        fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of(traits)));
    }

    private static long send(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).orElseThrow().request();
    }

    private static boolean sends(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Send.class).isPresent();
    }

    private static RefusalReason refusal(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Refuse.class).orElseThrow().reason();
    }

    private List<ForwardingCommand> breakOff(long request, AnswerProgress progress) {
        return fixture.handle(
                new ForwardingEvent.ConnectionBroken(fixture.attempt(request), progress));
    }

    private static Optional<ForwardingCommand.ReportRequestLost> lost(
            List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.ReportRequestLost.class);
    }

    private RequestTrait contentOf(List<ForwardingCommand> broken) {
        return lost(broken).orElseThrow().request().content();
    }

    @Nested
    class Ways {
        // Guards against new requests that reach servers although others like them crashed some.
        @Test
        void newRequestWithTheBadPartIsRefusedAtOnceAndOthersAreSent() {
            fixture.withServer("one", ENGINES, "m");
            quarantine(BAD);
            List<ForwardingCommand> commands = fixture.arrive("/ask/1", "m", BAD_PARTS);
            assertEquals(RefusalReason.QUARANTINED, refusal(commands));
            assertEquals(1, commands.size(), "no demand for a model either: " + commands);
            assertTrue(sends(fixture.arrive("/ask/2", "m", SOUND_PARTS)));
        }

        // Guards against a request that waited for its model when the part was quarantined.
        @Test
        void requestThatWaitsForAColdModelIsRefusedAndNoLongerAsksForIt() {
            fixture.arrive("/ask/1", "cold", BAD_PARTS);
            List<ForwardingCommand> commands =
                    fixture.handle(new ForwardingEvent.QuarantineChanged(Set.of(BAD)));
            assertEquals(RefusalReason.QUARANTINED, refusal(commands));
            assertTrue(
                    find(
                                    fixture.advance(Duration.ofSeconds(1)),
                                    ForwardingCommand.ReportWaiting.class)
                            .isEmpty());
        }

        // Guards against a broken stream that goes on at the next server and crashes it.
        @Test
        void brokenStreamIsNotResumedOnceItsPartIsQuarantined() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            long request = send(fixture.arrive("/ask/1", "m", BAD_PARTS));
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(request), Optional.empty()));
            fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(request), 1));
            quarantine(BAD);
            List<ForwardingCommand> commands = breakOff(request, AnswerProgress.CONTENT);
            assertTrue(find(commands, ForwardingCommand.Fail.class).isPresent());
        }

        // Guards against a repeat at another server after an error of the first one.
        @Test
        void failedRequestIsNotSentToAnotherServerOnceItsPartIsQuarantined() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            long request = send(fixture.arrive("/read/deep/1", "m", BAD_PARTS));
            quarantine(BAD);
            List<ForwardingCommand> commands =
                    fixture.handle(
                            new ForwardingEvent.Answered(
                                    fixture.attempt(request), 500, Optional.empty()));
            assertTrue(find(commands, ForwardingCommand.RelayAnswer.class).isPresent());
        }

        // Guards against a call that may not be repeated but comes again from its caller.
        @Test
        void callThatMayNotBeRepeatedIsRecognisedByItsContent() {
            fixture.withServer("record", RECORDS);
            long request = send(fixture.arrive("/issue/1", ""));
            RequestTrait content = contentOf(breakOff(request, AnswerProgress.NOTHING));
            quarantine(content);
            fixture.repeatLastContent();
            assertEquals(RefusalReason.QUARANTINED, refusal(fixture.arrive("/issue/1", "")));
            assertTrue(sends(fixture.arrive("/issue/2", "")));
        }

        // Guards against a part that escapes because its id is long.
        @Test
        void longIdsOfPartsAreRecognised() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            List<String> parts = List.of("x".repeat(5000));
            long request = send(fixture.arrive("/ask/1", "m", parts));
            List<RequestTrait> traits =
                    lost(breakOff(request, AnswerProgress.NOTHING)).orElseThrow().request().parts();
            assertTrue(traits.get(0).value().length() < 40, traits.toString());
            quarantine(traits.get(0));
            assertEquals(RefusalReason.QUARANTINED, refusal(fixture.arrive("/ask/2", "m", parts)));
        }
    }

    @Nested
    class Evidence {
        // Guards against evidence that blames requests whose answer had begun.
        @Test
        void onlyRequestsWithoutContentOfAnAnswerAreReported() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            long begun = send(fixture.arrive("/ask/1", "m", SOUND_PARTS));
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(begun), Optional.empty()));
            List<ForwardingCommand> answer =
                    fixture.handle(new ForwardingEvent.EventRelayed(fixture.attempt(begun), 1));
            assertTrue(find(answer, ForwardingCommand.ReportAnswerBegun.class).isPresent());
            assertTrue(lost(breakOff(begun, AnswerProgress.CONTENT)).isEmpty());
            long waiting = send(fixture.arrive("/ask/2", "m", SOUND_PARTS));
            assertTrue(lost(breakOff(waiting, AnswerProgress.NOTHING)).isPresent());
        }

        // Guards against blame for requests at a server that ends as it was planned to.
        @Test
        void serversThatLeaveAreNoEvidence() {
            fixture.withServer("one", ENGINES, "m");
            long atLeaving = send(fixture.arrive("/ask/1", "m", BAD_PARTS));
            fixture.withLeavingServer("one", ENGINES, "m");
            assertTrue(lost(breakOff(atLeaving, AnswerProgress.NOTHING)).isEmpty());
            fixture.withServer("two", ENGINES, "m");
            long atUnlisted = send(fixture.arrive("/ask/2", "m", BAD_PARTS));
            fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("two")));
            assertTrue(lost(breakOff(atUnlisted, AnswerProgress.NOTHING)).isEmpty());
        }

        // Guards against a request that crashes its second server before the first is understood.
        @Test
        void requestWhoseAnswerHadOnlyItsHeadWaitsBeforeItIsSentAgain() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            long request = send(fixture.arrive("/ask/1", "m", BAD_PARTS));
            fixture.handle(
                    new ForwardingEvent.StreamStarted(fixture.attempt(request), Optional.empty()));
            List<ForwardingCommand> commands =
                    new ArrayList<>(breakOff(request, AnswerProgress.HEAD));
            commands.addAll(fixture.advance(Duration.ofMillis(300)));
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
            assertTrue(sends(fixture.advance(Duration.ofMillis(100))));
        }
    }

    @Nested
    class Trials {
        // Guards against a trial that lets more than one request pass, or one to several servers.
        @Test
        void oneRequestPassesAndIsNotSentTwice() {
            fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "m");
            quarantine(BAD);
            fixture.handle(new ForwardingEvent.TrialAllowed(BAD));
            long request = send(fixture.arrive("/ask/1", "m", BAD_PARTS));
            assertEquals(
                    RefusalReason.QUARANTINED, refusal(fixture.arrive("/ask/2", "m", BAD_PARTS)));
            List<ForwardingCommand> commands =
                    new ArrayList<>(breakOff(request, AnswerProgress.NOTHING));
            commands.addAll(fixture.advance(Duration.ofSeconds(1)));
            assertTrue(find(commands, ForwardingCommand.Send.class).isEmpty());
            assertTrue(find(commands, ForwardingCommand.Fail.class).isPresent());
        }

        // Guards against a trial of one trait that lets another quarantined one pass.
        @Test
        void trialOfOneTraitDoesNotLetAnotherPass() {
            fixture.withServer("one", ENGINES, "m");
            RequestTrait other = new RequestTrait(RequestTrait.Kind.PART, "caller");
            quarantine(BAD, other);
            fixture.handle(new ForwardingEvent.TrialAllowed(BAD));
            assertEquals(
                    RefusalReason.QUARANTINED, refusal(fixture.arrive("/ask/1", "m", BAD_PARTS)));
        }
    }
}
