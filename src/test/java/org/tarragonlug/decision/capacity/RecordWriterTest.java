package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;

/**
 * A write without an answer may or may not have taken effect. Guards against treating a write as
 * failed although only its answer was lost, and against treating it as successful although the
 * write was lost.
 */
class RecordWriterTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant LATER = NOW.plusSeconds(5);
    private static final OperationId OPERATION = new OperationId("self-1");

    private final ProcessId self = new ProcessId("self");
    private final CapacityRecord before = CapacityRecord.empty(new ServerGroup("flight"));
    private final CapacityRecord after = before.withWrite(self, OPERATION, 1);
    private final RecordWriter writer =
            new RecordWriter(new CapacitySettings(before.group(), self, 30, 32), new Random(1));

    @BeforeEach
    void startWrite() {
        writer.onRecordRead(Optional.of(before), 4, NOW);
        writer.startWrite(OPERATION, after, List.of(), NOW);
    }

    private void read(CapacityRecord record, long version) {
        assertInstanceOf(CapacityCommand.ReadRecord.class, writer.dueCommands(LATER).get(0));
        writer.onRecordRead(Optional.of(record), version, LATER);
    }

    @Test
    void resolvesWriteAsDoneWhenRecordContainsItsOperationId() {
        writer.onWriteOutcomeUnknown(OPERATION, NOW);
        CapacityRecord overwritten =
                after.withWrite(new ProcessId("other"), new OperationId("other-1"), 2);
        read(overwritten, 6);
        assertTrue(writer.pending().isEmpty());
        assertEquals(overwritten, writer.record());
    }

    @Test
    void repeatsUnansweredWriteUnchangedWhileVersionIsUnchanged() {
        writer.onWriteOutcomeUnknown(OPERATION, NOW);
        read(before, 4);
        assertFalse(writer.mayWrite(LATER));
        assertEquals(
                List.of(new CapacityCommand.WriteRecord(OPERATION, after, 4)),
                writer.dueCommands(LATER));
        writer.onWriteNotDone(OPERATION, LATER);
        assertTrue(writer.pending().isPresent(), "the first transmission may still take effect");
    }

    @Test
    void resolvesConflictOfRepeatedWriteByReadingRecord() {
        writer.onWriteOutcomeUnknown(OPERATION, NOW);
        read(before, 4);
        writer.dueCommands(LATER);
        writer.onWriteConflict(OPERATION, LATER);
        assertTrue(writer.pending().isPresent());
        writer.dueCommands(LATER.plusSeconds(5));
        writer.onRecordRead(Optional.of(after), 5, LATER);
        assertEquals(after, writer.record());
    }

    @Test
    void resolvesWriteAsFailedWhenChangedRecordLacksItsOperationId() {
        writer.onWriteOutcomeUnknown(OPERATION, NOW);
        CapacityRecord other =
                before.withWrite(new ProcessId("other"), new OperationId("other-1"), 1);
        read(other, 5);
        assertTrue(writer.pending().isEmpty());
        assertTrue(writer.mayWrite(LATER));
    }

    /**
     * At the end of an outage the known record may be out of date at all deciders. Guards against
     * writes that are based on it.
     */
    @Test
    void doesNotWriteAfterOutageBeforeRecordIsRead() {
        writer.onWriteDone(OPERATION, 5);
        writer.onApiDown();
        writer.onApiUp(NOW);
        assertFalse(writer.mayWrite(LATER));
        read(after, 5);
        assertTrue(writer.mayWrite(LATER));
    }

    @Test
    void ignoresReadOfOlderVersion() {
        writer.onWriteDone(OPERATION, 5);
        writer.onRecordRead(Optional.of(before), 4, NOW);
        assertEquals(after, writer.record());
    }
}
