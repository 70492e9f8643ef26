package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

class CapacityRecordTest {
    private static final ArtifactId MODEL = new ArtifactId("model", "1");
    private static final ArtifactId ADAPTER = new ArtifactId("adapter", "1");

    private final CapacityRecord record =
            CapacityRecord.empty(new ServerGroup("flight"))
                    .withServer(server("s1"))
                    .withServer(server("s2"));

    private static ServerEntry server(String name) {
        return new ServerEntry(new ServerId(name), 100, ServerState.ACTIVE);
    }

    private static Slot slot(ArtifactId artifact, String server, long bytes) {
        Optional<ArtifactId> base =
                artifact.equals(ADAPTER) ? Optional.of(MODEL) : Optional.empty();
        return new Slot(
                artifact,
                base,
                new ServerId(server),
                bytes,
                SlotState.LOADING,
                FencingToken.NONE,
                List.of());
    }

    private static StandbySlot standby(String server, long bytes) {
        return new StandbySlot(
                new PoolName("pool"),
                new ServerId(server),
                bytes,
                new ProcessId("p"),
                List.of(MODEL),
                FencingToken.NONE,
                Optional.empty());
    }

    /** Guards against I1 being broken by a decision. */
    @Nested
    class Replicas {
        @Test
        void beyondTheMaximumAreRejected() {
            CapacityRecord one = record.withNewSlot(slot(MODEL, "s1", 10), 1);
            assertThrows(
                    IllegalStateException.class, () -> one.withNewSlot(slot(MODEL, "s2", 10), 1));
            assertEquals(2, one.withNewSlot(slot(MODEL, "s2", 10), 2).slots().size());
        }

        @Test
        void includeTheServerOfAStandbySlotThatCoversTheArtifact() {
            CapacityRecord covered = record.withNewStandby(standby("s1", 10));
            assertThrows(
                    IllegalStateException.class,
                    () -> covered.withNewSlot(slot(MODEL, "s2", 10), 1));
            assertEquals(1, covered.withNewSlot(slot(MODEL, "s1", 10), 1).slots().size());
        }

        @Test
        void areNotCoveredByTwoStandbySlots() {
            CapacityRecord covered = record.withNewStandby(standby("s1", 10));
            assertThrows(
                    IllegalStateException.class, () -> covered.withNewStandby(standby("s2", 10)));
        }
    }

    /** Guards against I2 being broken by a decision. */
    @Nested
    class Memory {
        @Test
        void ofSlotsAndStandbySlotsTogetherIsLimited() {
            CapacityRecord full = record.withNewStandby(standby("s1", 60));
            assertEquals(40, full.freeBytes(new ServerId("s1")));
            assertThrows(
                    IllegalStateException.class,
                    () -> full.withNewSlot(slot(new ArtifactId("other", "1"), "s1", 41), 1));
        }

        @Test
        void cannotShrinkBelowWhatIsReserved() {
            CapacityRecord used = record.withNewSlot(slot(MODEL, "s1", 50), 1);
            assertThrows(
                    IllegalStateException.class,
                    () ->
                            used.withServer(
                                    new ServerEntry(new ServerId("s1"), 49, ServerState.ACTIVE)));
        }
    }

    /** Guards against adapters without their base model. */
    @Nested
    class Adapters {
        @Test
        void needTheirBaseModelOnTheSameServer() {
            CapacityRecord elsewhere = record.withNewSlot(slot(MODEL, "s1", 10), 1);
            assertThrows(
                    IllegalStateException.class,
                    () -> elsewhere.withNewSlot(slot(ADAPTER, "s2", 5), 1));
        }

        @Test
        void keepTheirBaseModelFromBeingUnloaded() {
            CapacityRecord both =
                    record.withNewSlot(slot(MODEL, "s1", 10), 1)
                            .withNewSlot(slot(ADAPTER, "s1", 5), 1);
            Slot unloading = slot(MODEL, "s1", 10).withState(SlotState.UNLOADING);
            assertThrows(IllegalStateException.class, () -> both.withChangedSlot(unloading));
        }
    }
}
