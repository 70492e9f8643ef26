package org.tarragonlug.decision.watching;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.watching.StoreEraTracker.Verdict;
import org.tarragonlug.id.StoreEra;

/** What an instance concludes from the eras that the store states. */
class StoreEraTrackerTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration SHORTLY = StoreEraTracker.CONTRADICTION_TIME.minus(STEP);

    private final StoreEraTracker tracker = new StoreEraTracker();
    private Instant now = Instant.ofEpochSecond(1000);

    /** An answer to a call that began just before. */
    private Verdict answer(long era) {
        now = now.plus(STEP);
        return tracker.onAnswer(new StoreEra(era), now, now);
    }

    /** An answer to a call that began some time ago. */
    private Verdict lateAnswer(long era, Duration age) {
        return tracker.onAnswer(new StoreEra(era), now.minus(age), now);
    }

    private Verdict lastOfAnswers(long era, Duration length) {
        Instant end = now.plus(length);
        Verdict verdict = answer(era);
        while (now.isBefore(end)) {
            verdict = answer(era);
        }
        return verdict;
    }

    private long current() {
        return tracker.current().value();
    }

    @Nested
    class FirstAnswer {
        /** Guards against a start of the instance that looks like a return of the store. */
        @Test
        void eraOfFirstAnswerIsLearnt() {
            assertEquals(Verdict.FIRST, answer(7));
            assertEquals(7, current());
            assertEquals(Verdict.CURRENT, answer(7));
        }

        /** Guards against an instance that cannot work with a store without eras. */
        @Test
        void storeWithoutErasIsAccepted() {
            assertEquals(Verdict.CURRENT, answer(0));
            assertEquals(StoreEra.NONE, tracker.current());
        }

        /** Guards against a return that is overlooked because the store stated no era before. */
        @Test
        void eraAfterAnswersWithoutOneIsChange() {
            answer(0);
            assertEquals(Verdict.CHANGED, answer(1));
        }
    }

    @Nested
    class RisingEra {
        /** Guards against an instance that learns of a return late. */
        @Test
        void higherEraTakesEffectAtOnce() {
            answer(4);
            assertEquals(Verdict.CHANGED, answer(5));
            assertEquals(5, current());
        }

        /** Guards against a store that is not believed because it returned more than once. */
        @Test
        void eraThatRisesByMoreThanOneTakesEffectToo() {
            answer(4);
            assertEquals(Verdict.CHANGED, answer(9));
            assertEquals(9, current());
        }

        /** Guards against a call that began before the return and was answered after it. */
        @Test
        void lateAnswerOfLaterEraTakesEffect() {
            answer(4);
            assertEquals(Verdict.CHANGED, lateAnswer(5, Duration.ofSeconds(3)));
        }
    }

    @Nested
    class LateAnswer {
        /** Guards against an answer of the copy that is gone being used. */
        @Test
        void lowerEraIsOutdated() {
            answer(4);
            answer(5);
            assertEquals(Verdict.OUTDATED, lateAnswer(4, Duration.ofSeconds(1)));
            assertEquals(5, current());
        }

        /** Guards against calls that began before the return making the instance doubt it. */
        @Test
        void lateAnswersDoNotContradictHoweverManyThereAre() {
            answer(4);
            answer(5);
            Instant learntAt = now;
            for (int count = 0; count < 50; count++) {
                now = now.plus(STEP);
                Instant began = learntAt.minusMillis(1);
                assertEquals(Verdict.OUTDATED, tracker.onAnswer(new StoreEra(4), began, now));
            }
            assertEquals(5, current());
        }
    }

    @Nested
    class FallingEra {
        /** Guards against one wrong answer that takes an instance back to the copy before. */
        @Test
        void lowerEraForShortTimeIsIgnored() {
            answer(5);
            assertEquals(Verdict.OUTDATED, lastOfAnswers(4, SHORTLY.minus(STEP)));
            assertEquals(Verdict.CURRENT, answer(5));
            assertEquals(Verdict.OUTDATED, lastOfAnswers(4, SHORTLY.minus(STEP)));
            assertEquals(5, current());
        }

        /** Guards against one wrong answer that keeps an instance from its store for good. */
        @Test
        void lowerEraForLongTimeIsBelieved() {
            answer(4);
            answer(900);
            assertEquals(
                    Verdict.CURRENT,
                    lastOfAnswers(
                            4, StoreEraTracker.CONTRADICTION_TIME.plus(STEP.multipliedBy(2))));
            assertEquals(4, current());
        }

        /**
         * Guards against two stores whose answers alternate being taken for returns without end.
         */
        @Test
        void alternatingErasStayWithTheHigherOne() {
            answer(4);
            answer(5);
            for (int count = 0; count < 100; count++) {
                assertEquals(Verdict.OUTDATED, answer(4));
                assertEquals(Verdict.CURRENT, answer(5));
            }
        }
    }

    @Nested
    class MissingHeader {
        /** Guards against an instance that stops because an answer states no era. */
        @Test
        void answerWithoutEraBelongsToThePresentOne() {
            answer(5);
            assertEquals(Verdict.CURRENT, answer(0));
            assertEquals(5, current());
        }

        /** Guards against answers without an era hiding that the era was wrong. */
        @Test
        void answerWithoutEraDoesNotEndContradiction() {
            answer(900);
            lastOfAnswers(4, SHORTLY.minus(STEP));
            answer(0);
            answer(4);
            assertEquals(Verdict.CURRENT, lastOfAnswers(4, STEP.multipliedBy(2)));
            assertEquals(4, current());
        }
    }
}
