package org.tarragonlug.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.RequestTrait;

class StoredQuarantineTest {
    private static final Set<RequestTrait> TRAITS = Set.of(RequestTrait.parse("part:7a"));

    private final StoredQuarantine stored = new StoredQuarantine();

    @Nested
    class AfterReturnFromCopy {
        /** Guards against a quarantine that is lost because the copy does not have it. */
        @Test
        void instanceFromBeforeWritesItsDecisionAgain() {
            stored.onRead(TRAITS);
            stored.onStoreRestored();
            stored.onEarlierRead(Set.of(), false);
            assertEquals(Optional.of(TRAITS), stored.write(TRAITS, true, Instant.EPOCH));
        }

        /** Guards against a restarted instance that makes others forget what the copy lacks. */
        @Test
        void instanceThatKnowsTheCopyAloneDoesNotConfirmIt() {
            stored.onEarlierRead(Set.of(), false);
            assertEquals(Optional.empty(), stored.write(Set.of(), true, Instant.EPOCH));
        }
    }
}
