package org.tarragonlug.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;

class CrashEvidenceTest {
    private static final Instant START = Instant.EPOCH;

    private final CrashEvidence evidence = new CrashEvidence();

    private static RequestTrait part(String id) {
        return new RequestTrait(RequestTrait.Kind.PART, id);
    }

    private static RequestTrait content(String id) {
        return new RequestTrait(RequestTrait.Kind.CONTENT, id);
    }

    private static LostRequest request(String content, String... parts) {
        return new LostRequest(
                content(content), Arrays.stream(parts).map(CrashEvidenceTest::part).toList());
    }

    private static ServerIncarnation server(int number) {
        return new ServerIncarnation(new ServerId("e" + number), 1);
    }

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }

    private void lose(int server, long millis, LostRequest... requests) {
        lose(server, millis, Set.of(), requests);
    }

    private void lose(
            int server, long millis, Set<RequestTrait> convicted, LostRequest... requests) {
        evidence.onServerLost(server(server), at(millis), List.of(requests), convicted);
    }

    private List<RequestTrait> convicted(long millis) {
        return evidence.convict(at(millis)).stream().map(CrashEvidence.Conviction::trait).toList();
    }

    @Nested
    class Parts {
        // Guards against a part that goes on crashing servers because its requests all differ.
        @Test
        void partInDifferentRequestsAtThreeLostServersIsConvicted() {
            lose(1, 0, request("a", "shared", "bad"));
            lose(2, 200, request("b", "shared", "bad"));
            assertEquals(List.of(), convicted(500));
            lose(3, 600, request("c", "shared", "bad"));
            assertEquals(List.of(part("bad")), convicted(600));
        }

        // Guards against refusals of sound requests that share other parts with crashing ones.
        @Test
        void partsThatAccompanyTheConvictedOneAreNotConvicted() {
            for (int number = 1; number <= 3; number++) {
                lose(
                        number,
                        100 * number,
                        request("bad-" + number, "shared", "caller", "bad"),
                        request("sound-" + number, "shared", "other-" + number));
            }
            assertEquals(List.of(part("bad")), convicted(500));
            assertEquals(List.of(), convicted(900));
        }

        // Guards against a wrong first choice that hides the part which really crashes servers.
        @Test
        void partThatGoesOnCrashingWithoutTheConvictedOneIsConvictedToo() {
            for (int number = 1; number <= 3; number++) {
                lose(number, 100 * number, request("a" + number, "bad", "chance"));
            }
            assertEquals(List.of(part("chance")), convicted(500));
            for (int number = 4; number <= 6; number++) {
                lose(
                        number,
                        100 * number,
                        Set.of(part("chance")),
                        request("b" + number, "bad", "own-" + number));
            }
            assertEquals(List.of(part("bad")), convicted(900));
        }

        // Guards against evidence from a server that a convicted part has ended.
        @Test
        void lossesWithConvictedPartAreNoEvidenceForOthers() {
            Set<RequestTrait> convicted = Set.of(part("bad"));
            for (int number = 1; number <= 3; number++) {
                lose(number, 100 * number, request("sound-" + number, "shared"));
                lose(number, 100 * number, convicted, request("bad-" + number, "shared", "bad"));
            }
            assertEquals(List.of(), convicted(900));
        }
    }

    @Nested
    class Answers {
        // Guards against a popular part that is blamed because it is at every lost server.
        @Test
        void partThatServersAnswerIsNotConvicted() {
            for (int number = 1; number <= 6; number++) {
                lose(number, 100 * number, request("a" + number, "popular"));
                evidence.onAnswered(part("popular"), at(100 * number + 50));
            }
            assertEquals(List.of(), convicted(2000));
        }

        // Guards against an old answer that clears a part which has begun to crash servers.
        @Test
        void partThatWasAnsweredBeforeIsConvictedByMoreLosses() {
            for (int number = 1; number <= 4; number++) {
                lose(number, 10 * number, request("a" + number, "bad"));
            }
            evidence.onAnswered(part("bad"), at(5));
            assertEquals(List.of(), convicted(500));
            lose(5, 600, request("a5", "bad"));
            assertEquals(List.of(part("bad")), convicted(600));
        }

        // Guards against blame for a part that was harmless before and is only there by chance.
        @Test
        void partThatWasNeverAnsweredIsConvictedFirst() {
            for (int number = 1; number <= 5; number++) {
                lose(number, 10 * number, request("a" + number, "bad", "known"));
            }
            evidence.onAnswered(part("known"), at(0));
            assertEquals(List.of(part("bad")), convicted(500));
        }

        // Guards against parts that are blamed when many servers end at the same moment.
        @Test
        void simultaneousLossesConvictOnlyAfterTimeForAnswers() {
            for (int number = 1; number <= 9; number++) {
                lose(number, 0, request("a" + number, "shared"));
            }
            assertEquals(List.of(), convicted(CrashEvidence.CLEARING_TIME.toMillis() - 1));
            evidence.onAnswered(part("shared"), at(50));
            assertEquals(List.of(), convicted(CrashEvidence.CLEARING_TIME.toMillis()));
        }
    }

    @Nested
    class Contents {
        // Guards against one request that its caller sends again and again.
        @Test
        void repeatedRequestIsConvictedByItsContentAlone() {
            for (int number = 1; number <= 3; number++) {
                lose(number, 200 * number, request("same", "shared"));
            }
            assertEquals(List.of(content("same")), convicted(700));
        }

        // Guards against a part that stays unnoticed because its first request was convicted.
        @Test
        void partIsConvictedAfterTheContentOfItsFirstRequest() {
            for (int number = 1; number <= 3; number++) {
                lose(number, 200 * number, request("same", "bad"));
            }
            assertEquals(List.of(content("same")), convicted(700));
            lose(4, 800, Set.of(content("same")), request("other", "bad"));
            assertEquals(List.of(part("bad")), convicted(1200));
        }
    }

    @Nested
    class Limits {
        // Guards against convictions by a server that was cut off and had not ended.
        @Test
        void serverThatWasNotLostIsNoEvidence() {
            lose(1, 0, request("a", "p"));
            lose(2, 100, request("b", "p"));
            lose(3, 200, request("c", "p"));
            evidence.onServerNotLost(server(2));
            assertEquals(List.of(), convicted(900));
        }

        // Guards against memory that grows with the parts that callers make up.
        @Test
        void notesAreBoundedAndKeepWhatWasSeenTwice() {
            lose(1, 0, request("a", "bad"));
            lose(2, 10, request("b", "bad"));
            for (int number = 0; number < 5000; number++) {
                lose(100 + number, 20, request("c" + number, "made-up-" + number));
            }
            assertTrue(evidence.size() <= 2048, evidence.size() + " traits");
            lose(3, 400, request("d", "bad"));
            assertEquals(List.of(part("bad")), convicted(400));
        }

        // Guards against convictions from losses that lie hours apart.
        @Test
        void oldLossesAreForgotten() {
            long hour = Duration.ofHours(1).toMillis();
            for (int number = 1; number <= 5; number++) {
                lose(number, number * hour, request("a" + number, "p"));
                assertEquals(List.of(), convicted(number * hour + 1000));
            }
        }
    }
}
