package org.tarragonlug.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.configuration.ArtifactLimit;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;

/** Events that reach a new planner before its first tick. */
class FirstEventsTest {
    private static final Instant NOW = Instant.parse("2026-01-05T08:00:00Z");
    private static final ServerGroup GROUP = new ServerGroup("tutoring");
    private static final ArtifactId MODEL = new ArtifactId("lift", "1");
    private static final ServerId SERVER = new ServerId("s-1");

    /** Guards against an overflow of the time since the planner began to observe. */
    @Test
    void demandBeforeTheFirstTickIsHandled() {
        DefaultCapacityPlanner planner =
                new DefaultCapacityPlanner(
                        new CapacitySettings(GROUP, new ProcessId("p-1"), 30, 8),
                        new LoadTimes(),
                        new SimplePolicies.MostRoom(),
                        new SimplePolicies.KeepFor(Duration.ofMinutes(1)),
                        new Random(1),
                        (invariant, detail) -> assertEquals("", detail));
        ArtifactLimit limit = new ArtifactLimit(MODEL, Optional.empty(), 1L << 30, 0, 2);
        Pool pool = new Pool(new PoolName("lessons"), GROUP, List.of(limit), 2, 0, 64);
        planner.handle(
                new CapacityEvent.ConfigurationChanged(
                        new Configuration(new ConfigurationVersion(1), List.of(), List.of(pool))),
                NOW);
        planner.handle(
                new CapacityEvent.ServersListed(
                        List.of(
                                new ListedServer(
                                        SERVER,
                                        new FailureDomain("lima-1"),
                                        false,
                                        FencingKind.CHECKED))),
                NOW);
        planner.handle(new CapacityEvent.BecameDecider(), NOW);
        planner.handle(
                new CapacityEvent.DemandReported(
                        new InstanceId("entry-1"),
                        new Demand(MODEL, 1, 0, 1, NOW.plusSeconds(5), Priority.NORMAL)),
                NOW);
        planner.handle(new CapacityEvent.RecordRead(Optional.of(record()), 1), NOW);
        assertTrue(planner.record().slot(MODEL, SERVER).isPresent());
    }

    private static CapacityRecord record() {
        Slot slot =
                new Slot(
                        MODEL,
                        Optional.empty(),
                        SERVER,
                        1L << 30,
                        SlotState.READY,
                        new FencingToken(1),
                        List.of());
        return new CapacityRecord(
                CapacityRecord.FORMAT_VERSION,
                GROUP,
                1,
                List.of(new ServerEntry(SERVER, 8L << 30, ServerState.ACTIVE)),
                List.of(slot),
                List.of(),
                Map.of());
    }
}
