package org.tarragonlug.decision.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.tarragonlug.decision.account.AccountDirectoryTest.account;
import static org.tarragonlug.decision.account.AccountDirectoryTest.digest;
import static org.tarragonlug.decision.account.AccountDirectoryTest.directory;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;

class KeyCheckerTest {
    private static final int KEYS = 8;
    private static final int RUNS = 200;

    private final KeyChecker checker = new KeyChecker();

    private KeyDecision.Kind decide(int digest) {
        return checker.decide(digest(digest)).kind();
    }

    @Nested
    class Removal {
        // Guards against a removed key that is accepted after the newer configuration was applied.
        @Test
        void removedKeyIsRefusedAtOnce() {
            checker.install(directory(account("a", 1, 2)));
            checker.install(directory(account("a", 2)));
            assertEquals(KeyDecision.Kind.REFUSED, decide(1));
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(2));
        }

        // Guards against keys that stay and take the place of removed ones in what is remembered.
        @Test
        void removedKeyIsRememberedBesideManyThatStay() {
            Integer[] many =
                    IntStream.range(10, 11 + KeyChecker.MAX_ABSENT).boxed().toArray(Integer[]::new);
            checker.install(directory(account("a", 1), account("b", many)));
            checker.install(directory(account("b", many)));
            assertEquals(KeyDecision.Kind.REFUSED, decide(1));
        }

        // Guards against a key that stays refused, or with its former account, after its return.
        @Test
        void keyThatReturnsIsValidForItsNewAccount() {
            checker.install(directory(account("a", 1)));
            checker.install(directory(account("a", 2)));
            checker.install(directory(account("b", 1)));
            assertEquals("b", checker.decide(digest(1)).account().orElseThrow().name().value());
        }
    }

    @Nested
    class Absence {
        // Guards against a 401 for a key that was written a moment ago.
        @Test
        void unknownKeyIsRefusedOnlyWhenItsAbsenceIsRecorded() {
            checker.install(directory(account("a", 1)));
            assertEquals(KeyDecision.Kind.UNKNOWN, decide(7));
            checker.recordAbsent(digest(7));
            assertEquals(KeyDecision.Kind.REFUSED, decide(7));
            checker.install(directory(account("a", 2)));
            assertEquals(KeyDecision.Kind.REFUSED, decide(7));
            checker.install(directory(account("a", 7)));
            assertEquals(KeyDecision.Kind.ACCEPTED, decide(7));
        }

        // Guards against memory that grows with the keys that callers make up.
        @Test
        void oldestAbsentKeysAreForgotten() {
            checker.install(directory(account("a", 1)));
            for (int value = 2; value < KeyChecker.MAX_ABSENT + 3; value++) {
                checker.recordAbsent(digest(value));
            }
            assertEquals(KeyDecision.Kind.UNKNOWN, decide(2));
            assertEquals(KeyDecision.Kind.REFUSED, decide(3));
        }
    }

    /**
     * Installs random configurations. Guards against a key of the newest one that is not accepted,
     * and against one of an earlier configuration that still is.
     */
    @Test
    void newestConfigurationDecidesAlone() {
        TestSeeds.forEach(
                seed -> {
                    Random random = new Random(seed);
                    for (int run = 0; run < RUNS; run++) {
                        installRandomly(random);
                    }
                });
    }

    private static void installRandomly(Random random) {
        KeyChecker fresh = new KeyChecker();
        boolean[] held = new boolean[KEYS];
        boolean[] seen = new boolean[KEYS];
        for (int write = 0; write < 20; write++) {
            for (int key = 0; key < KEYS; key++) {
                held[key] = key == 0 || random.nextBoolean();
                seen[key] |= held[key];
            }
            fresh.install(directory(account("a", keys(held))));
            for (int key = 0; key < KEYS; key++) {
                KeyDecision.Kind expected =
                        held[key]
                                ? KeyDecision.Kind.ACCEPTED
                                : seen[key] ? KeyDecision.Kind.REFUSED : KeyDecision.Kind.UNKNOWN;
                assertEquals(expected, fresh.decide(digest(key)).kind());
            }
        }
    }

    private static Integer[] keys(boolean[] held) {
        return IntStream.range(0, held.length)
                .filter(key -> held[key])
                .boxed()
                .toArray(Integer[]::new);
    }
}
