package org.tarragonlug.decision.watching;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** What a source passes on of a store that comes back from an older copy. */
class SharedViewTest {
    private static final StoreEra BEFORE = new StoreEra(4);
    private static final StoreEra AFTER = new StoreEra(5);

    private final SharedView<String> view = new SharedView<>();
    private final Instant now = Instant.ofEpochSecond(1000);

    private static StorePosition before(long revision) {
        return new StorePosition(BEFORE, revision);
    }

    private static StorePosition after(long revision) {
        return new StorePosition(AFTER, revision);
    }

    private SharedView.Kind kind(StorePosition after) {
        return view.answer(after, false, now).kind();
    }

    @BeforeEach
    void readInEarlierEra() {
        view.onStoreEra(BEFORE);
        view.onListed(before(50), now);
        view.onWatched(before(50), Map.of("a", "a53"), before(53), now);
    }

    @Nested
    class NewEra {
        /** Guards against changes of the copy that is gone being passed on. */
        @Test
        void whatWasReadIsForgotten() {
            view.onStoreEra(AFTER);
            assertEquals(SharedView.Kind.STALE, kind(before(50)));
            assertEquals(SharedView.Kind.STALE, kind(after(50)));
        }

        /** Guards against a source that keeps others from learning of the era. */
        @Test
        void watchOfEarlierEraHasGapAfterTheNextList() {
            view.onStoreEra(AFTER);
            view.onListed(after(20), now);
            SharedView.Answer<String> answer = view.answer(before(53), false, now);
            assertEquals(SharedView.Kind.GAP, answer.kind());
            assertEquals(after(20), answer.position());
        }

        /** Guards against revisions that are given out again counting as known. */
        @Test
        void sameRevisionOfEarlierEraIsNotTheSamePosition() {
            view.onStoreEra(AFTER);
            view.onListed(after(50), now);
            view.onWatched(before(50), Map.of("b", "b51"), after(51), now);
            assertEquals(SharedView.Kind.GAP, kind(after(50)));
            assertEquals(SharedView.Kind.GAP, kind(before(51)));
        }

        /** Guards against a watch that goes on from the higher revision of two copies. */
        @Test
        void positionOfAnswerIsOfTheEraOfTheView() {
            view.onStoreEra(AFTER);
            view.onListed(after(20), now);
            view.onWatched(after(20), Map.of("a", "a21"), after(21), now);
            assertEquals(after(21), view.answer(after(20), false, now).position());
            assertEquals(after(40), view.answer(after(40), true, now).position());
            assertEquals(after(21), view.answer(before(60), true, now).position());
        }

        /** Guards against a source that has not learnt of the era and says that nothing changed. */
        @Test
        void watchOfLaterEraGoesToTheStore() {
            assertEquals(SharedView.Kind.STALE, kind(after(10)));
        }
    }

    @Nested
    class LateAnswers {
        @BeforeEach
        void readInLaterEra() {
            view.onStoreEra(AFTER);
            view.onListed(after(20), now);
        }

        /** Guards against a late list of the copy that is gone replacing the view. */
        @Test
        void listOfEarlierEraChangesNothing() {
            view.onListed(before(60), now);
            assertEquals(SharedView.Kind.WAIT, kind(after(20)));
        }

        /** Guards against a late change of the copy that is gone being passed on. */
        @Test
        void watchOfEarlierEraChangesNothing() {
            view.onWatched(before(53), Map.of("a", "a54"), before(54), now);
            SharedView.Answer<String> answer = view.answer(after(20), true, now);
            assertEquals(List.of(), answer.changed());
            assertEquals(after(20), answer.position());
        }

        /** Guards against a late answer that makes a view look fresh which the store did not. */
        @Test
        void answerOfEarlierEraDoesNotConfirmTheView() {
            Instant later = now.plus(SharedView.FRESHNESS).plusMillis(1);
            view.onWatched(before(53), Map.of(), before(53), later);
            assertEquals(SharedView.Kind.STALE, view.answer(after(20), true, later).kind());
        }
    }

    @Nested
    class MistakenEra {
        /** Guards against a view that stays empty after an era that was stated by mistake. */
        @Test
        void viewBeginsAnewInTheLowerEra() {
            view.onStoreEra(new StoreEra(900));
            view.onStoreEra(BEFORE);
            view.onListed(before(60), now);
            assertEquals(SharedView.Kind.WAIT, kind(before(60)));
        }
    }
}
