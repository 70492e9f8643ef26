package org.tarragonlug.decision.watching;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;

/** Many instances that learn the changes of one store. */
class WatchSharingTest {
    /** A change must be known everywhere within the shortest drain time of a platform. */
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(2);

    private static final int DOMAINS = 5;
    private static final double CHANGES_PER_SECOND = 20;
    private static final Duration LENGTH = Duration.ofSeconds(40);

    @Nested
    class Calls {
        /** Guards against calls to the store that grow with the number of instances. */
        @ParameterizedTest
        @ValueSource(ints = {95, 300, 410})
        void callsGrowWithSourcesOnly(int instances) {
            WatchSharingSimulation simulation =
                    new WatchSharingSimulation(instances, DOMAINS, CHANGES_PER_SECOND, 3);
            simulation.run(Duration.ofSeconds(10));
            int before = simulation.storeCalls;
            simulation.run(LENGTH);
            double perSecond = (double) (simulation.storeCalls - before) / LENGTH.toSeconds();
            int sources =
                    DOMAINS
                            * ((instances / DOMAINS) / WatchSourceSelector.INSTANCES_PER_SOURCE
                                    + 1);
            assertTrue(perSecond <= 3.0 * sources, perSecond + " calls a second");
            assertTrue(
                    simulation.longestDelay().compareTo(LONGEST_DELAY) < 0,
                    simulation.longestDelay().toString());
        }

        /** Guards against sources that watch more often than the few instances they serve. */
        @Test
        void smallDomainsHaveNoSource() {
            WatchSourceSelector selector = new WatchSourceSelector();
            Instant now = Instant.ofEpochSecond(1000);
            WatchCandidate candidate = new WatchCandidate(new FailureDomain("a"), "1.1.1.1:1", 1);
            for (int number = 0; number < WatchSourceSelector.MIN_INSTANCES - 1; number++) {
                selector.onReport(new InstanceId("i" + number), candidate, now);
            }
            assertEquals(List.of(), selector.sourcesFor(new InstanceId("i0"), now));
        }
    }

    @Nested
    class Faults {
        private final WatchSharingSimulation simulation =
                new WatchSharingSimulation(95, DOMAINS, CHANGES_PER_SECOND, 5);

        private void assertNobodyIsLate() {
            simulation.run(LENGTH);
            assertTrue(
                    simulation.longestDelay().compareTo(LONGEST_DELAY) < 0,
                    simulation.longestDelay().toString());
        }

        /** Guards against instances that wait for a source which no longer runs. */
        @Test
        void frozenSourceDelaysNobodyElse() {
            simulation.run(Duration.ofSeconds(10));
            simulation.anySource().freeze(Duration.ofSeconds(6));
            assertNobodyIsLate();
        }

        /** Guards against a source that says "no change" because it does not reach the store. */
        @Test
        void sourceCutOffFromTheStoreDelaysNobodyElse() {
            simulation.run(Duration.ofSeconds(10));
            simulation.anySource().cutFromStore(Duration.ofSeconds(6));
            assertNobodyIsLate();
        }

        @Test
        void severalSourcesInARowDelayNobodyElse() {
            for (int count = 0; count < 6; count++) {
                simulation.run(Duration.ofSeconds(5));
                simulation.anySource().freeze(Duration.ofSeconds(4));
                simulation.anySource().cutFromStore(Duration.ofSeconds(4));
            }
            assertNobodyIsLate();
        }
    }

    @Nested
    class Views {
        private final SharedView<String> view = new SharedView<>();
        private final Instant now = Instant.ofEpochSecond(1000);

        /** Guards against changes that are lost because they are no longer kept. */
        @Test
        void watchFromBeforeTheListHasGap() {
            view.onListed(StorePosition.of(50), now);
            assertEquals(SharedView.Kind.GAP, view.answer(StorePosition.of(49), false, now).kind());
            assertEquals(
                    SharedView.Kind.WAIT, view.answer(StorePosition.of(50), false, now).kind());
        }

        /** Guards against changes that happened while this instance watched through another one. */
        @Test
        void missedRevisionsAreGap() {
            view.onListed(StorePosition.of(50), now);
            view.onWatched(StorePosition.of(60), Map.of("a", "a61"), StorePosition.of(61), now);
            assertEquals(SharedView.Kind.GAP, view.answer(StorePosition.of(50), false, now).kind());
        }

        @Test
        void newestChangeOfEachObjectIsPassedOn() {
            view.onListed(StorePosition.of(50), now);
            view.onWatched(StorePosition.of(50), Map.of("a", "a51"), StorePosition.of(51), now);
            view.onWatched(StorePosition.of(51), Map.of("a", "a52"), StorePosition.of(52), now);
            SharedView.Answer<String> answer = view.answer(StorePosition.of(50), false, now);
            assertEquals(List.of("a52"), answer.changed());
            assertEquals(StorePosition.of(52), answer.position());
        }

        @Test
        void viewThatTheStoreDidNotConfirmIsStale() {
            view.onListed(StorePosition.of(50), now);
            Instant later = now.plus(SharedView.FRESHNESS).plusMillis(1);
            assertEquals(
                    SharedView.Kind.STALE, view.answer(StorePosition.of(50), true, later).kind());
        }
    }
}
