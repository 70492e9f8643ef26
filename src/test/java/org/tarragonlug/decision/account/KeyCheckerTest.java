package org.tarragonlug.decision.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.tarragonlug.decision.account.AccountDirectoryTest.account;
import static org.tarragonlug.decision.account.AccountDirectoryTest.digest;
import static org.tarragonlug.decision.account.AccountDirectoryTest.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;

class KeyCheckerTest {
    private static final Duration DELAY = Duration.ofSeconds(3);
    private static final Instant START = Instant.ofEpochSecond(1000);

    private static final int KEYS = 8;
    private static final int RUNS = 200;

    private final KeyChecker checker = new KeyChecker(DELAY);

    private KeyDecision.Kind decide(int digest, long millis) {
        return checker.decide(digest(digest), START.plusMillis(millis)).kind();
    }

    @Nested
    class Removal {
        // Guards against a caller that is refused for good while its key is still valid.
        @Test
        void keyIsValidForATimeAndThenUncertainAndThenRefused() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            checker.install(directory(account("a", 2)), Instant.MAX, START);
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(1, 0));
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(1, 1999));
            assertEquals(KeyDecision.Kind.ENDING, decide(1, 2000));
            assertEquals(KeyDecision.Kind.ENDING, decide(1, 2999));
            assertEquals(KeyDecision.Kind.REFUSED, decide(1, 3000));
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(2, 3000));
        }

        // Guards against an instance that was cut off and then accepts a removed key for seconds.
        @Test
        void keyMayHaveEndedBeforeTheInstanceLearnsOfIt() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            checker.install(directory(account("a", 2)), START.minus(Duration.ofSeconds(9)), START);
            assertEquals(KeyDecision.Kind.ENDING, decide(1, 0));
            assertEquals(KeyDecision.Kind.REFUSED, decide(1, 3000));
        }

        @Test
        void keyThatReturnsIsValid() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            checker.install(directory(account("a", 2)), Instant.MAX, START);
            checker.install(directory(account("b", 1)), Instant.MAX, START.plusMillis(100));
            assertEquals(
                    "b",
                    checker.decide(digest(1), START.plusSeconds(9))
                            .account()
                            .orElseThrow()
                            .name()
                            .value());
        }

        @Test
        void removalCountsFromTheFirstConfigurationWithoutTheKey() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            checker.install(directory(account("a", 2)), Instant.MAX, START);
            checker.install(directory(account("a", 3)), Instant.MAX, START.plusSeconds(2));
            assertEquals(KeyDecision.Kind.REFUSED, decide(1, 3000));
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(2, 3000));
        }
    }

    @Nested
    class Absence {
        @Test
        void unknownKeyIsRefusedOnlyWhenItsAbsenceIsRecorded() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            assertEquals(KeyDecision.Kind.UNKNOWN, decide(7, 0));
            checker.recordAbsent(digest(7));
            assertEquals(KeyDecision.Kind.REFUSED, decide(7, 0));
            checker.install(directory(account("a", 2)), Instant.MAX, START);
            assertEquals(KeyDecision.Kind.REFUSED, decide(7, 0));
            checker.install(directory(account("a", 7)), Instant.MAX, START);
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(7, 0));
            checker.install(directory(account("a", 2)), Instant.MAX, START);
            checker.install(directory(account("a", 2)), Instant.MAX, START.plusSeconds(3));
            assertEquals(KeyDecision.Kind.UNKNOWN, decide(7, 3000));
        }

        // Guards against memory that grows with the keys that callers make up.
        @Test
        void oldestAbsentKeysAreForgotten() {
            checker.install(directory(account("a", 1)), Instant.MAX, START);
            for (int value = 2; value < KeyChecker.MAX_ABSENT + 3; value++) {
                checker.recordAbsent(digest(value));
            }
            assertEquals(KeyDecision.Kind.UNKNOWN, decide(2, 0));
            assertEquals(KeyDecision.Kind.REFUSED, decide(3, 0));
        }
    }

    /**
     * Writes random configurations, and lets an instance learn of each after a random time. Guards
     * against a valid key that is refused for good, and against one that is accepted too long.
     */
    @Test
    void decisionsAgreeWithTheWritesInAnyOrder() {
        TestSeeds.forEach(
                seed -> {
                    Random random = new Random(seed);
                    for (int run = 0; run < RUNS; run++) {
                        runWrites(random);
                    }
                });
    }

    private static void runWrites(Random random) {
        KeyChecker fresh = new KeyChecker(DELAY);
        fresh.install(directory(account("a", 0)), Instant.MAX, START);
        Instant[] removedAt = new Instant[KEYS];
        boolean[] held = new boolean[KEYS];
        held[0] = true;
        Instant learnt = START;
        for (int write = 0; write < 20; write++) {
            Instant written = learnt.plusMillis(1 + random.nextInt(4000));
            for (int key = 1; key < KEYS; key++) {
                boolean next = random.nextBoolean();
                removedAt[key] = held[key] && !next ? written : removedAt[key];
                held[key] = next;
            }
            Instant before = learnt;
            boolean announced = random.nextBoolean();
            long lag = announced ? random.nextInt(1000) : random.nextInt(8000);
            learnt = written.plusMillis(lag);
            fresh.install(
                    directory(account("a", keys(held))), announced ? Instant.MAX : before, learnt);
            check(fresh, held, removedAt, learnt.plusMillis(random.nextInt(4000)));
        }
    }

    private static Integer[] keys(boolean[] held) {
        return IntStream.range(0, held.length)
                .filter(key -> held[key])
                .boxed()
                .toArray(Integer[]::new);
    }

    private static void check(
            KeyChecker checker, boolean[] held, Instant[] removedAt, Instant now) {
        for (int key = 0; key < held.length; key++) {
            KeyDecision.Kind kind = checker.decide(digest(key), now).kind();
            boolean ended = removedAt[key] == null || !now.isBefore(removedAt[key].plus(DELAY));
            if (held[key]) {
                assertEquals(KeyDecision.Kind.ACCEPTED, kind);
            } else if (ended) {
                assertNotEquals(KeyDecision.Kind.ACCEPTED, kind);
            } else {
                assertNotEquals(KeyDecision.Kind.REFUSED, kind);
            }
        }
    }
}
