package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

class InvariantChecksTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServerId SERVER = new ServerId("s1");
    private static final ArtifactId MODEL = new ArtifactId("model", "1");

    private final List<Invariant> violations = new ArrayList<>();
    private final CapacitySettings settings =
            new CapacitySettings(new ServerGroup("flight"), new ProcessId("self"), 30, 32);
    private final GroupView view = new GroupView(settings);
    private final RecordWriter writer = new RecordWriter(settings, new Random(1));
    private final InvariantChecks checks =
            new InvariantChecks(
                    view,
                    writer,
                    new OrderTracker(settings, view, writer),
                    (invariant, detail) -> violations.add(invariant),
                    () -> new OperationId("operation"));

    private static Instant at(long seconds) {
        return START.plusSeconds(seconds);
    }

    private void read(long version, long second) {
        writer.requestRead();
        writer.dueCommands(at(second));
        writer.onRecordRead(Optional.of(CapacityRecord.empty(settings.group())), version, at(second));
        checks.checkUnrecorded(at(second));
    }

    private ServerReport report(long second, long bytes) {
        return new ServerReport(
                SERVER,
                "run",
                false,
                100,
                Map.of(MODEL, bytes),
                Map.of(),
                Map.of(),
                Set.of(),
                0,
                0,
                at(second));
    }

    private void reportLoaded(long second) {
        view.report(report(second, 10));
        checks.checkUnrecorded(at(second));
    }

    /**
     * Guards against an alarm by a decider with an old record while another one loaded and unloaded
     * an artifact (seeds 100933 and 102342 of an earlier scenario).
     */
    @Test
    void artifactThatAnUnknownVersionMayHaveDecidedIsNoViolation() {
        read(4, 0);
        reportLoaded(3);
        reportLoaded(8);
        read(9, 9);
        reportLoaded(10);
        assertEquals(List.of(), violations);
    }

    /** Guards against a replica beyond the decision staying unnoticed. */
    @Test
    void artifactThatNoKnownVersionDecidedIsAViolation() {
        read(4, 0);
        reportLoaded(3);
        read(4, 10);
        assertEquals(List.of(Invariant.REPLICAS_WITHIN_DECISION), violations);
    }

    /** Guards against overcommitted memory staying unnoticed. */
    @Test
    void reportOfMoreMemoryThanTheServerHasIsAViolation() {
        checks.checkReport(report(0, 101));
        assertEquals(List.of(Invariant.MEMORY_NOT_OVERCOMMITTED), violations);
    }
}
