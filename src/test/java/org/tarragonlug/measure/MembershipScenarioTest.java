package org.tarragonlug.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.membership.MemberState;
import org.tarragonlug.decision.membership.MemberUpdate;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerCodec;
import org.tarragonlug.peer.PeerMessage;

class MembershipScenarioTest {
    /** Target: all members detect a crash within 5 s. */
    private static final long DETECTION_MICROS = 5_000_000;

    /** Target: a member sends at most 5 KB/s on average. */
    private static final long BYTES_PER_SECOND = 5_000;

    private static final int SIZE = 20;

    /**
     * Default number of seeds per test, which keeps the run of this class under 15 s on a busy
     * machine. The system property {@code tarragonlug.seeds} sets another number.
     */
    private static final int SEEDS = 2;

    private DetectionRecord record;
    private VirtualCluster cluster;

    private void startCluster(long seed) {
        record = new DetectionRecord(SIZE);
        cluster = new VirtualCluster(SIZE, DetectorKind.RANDOM_PROBE, seed, record);
        runSeconds(5);
        cluster.traffic().reset();
    }

    private void runSeconds(int seconds) {
        cluster.run(Duration.ofSeconds(seconds));
    }

    private void assertAllViewsComplete() {
        for (int member = 0; member < SIZE; member++) {
            assertEquals(SIZE, cluster.detector(member).view().members().size());
        }
    }

    @Nested
    class Crashes {
        /**
         * Members crash one after another and restart. Guards against crashed members that stay in
         * a view and so keep what they own, and against the removal of live members.
         */
        @Test
        void detectsCrashesWithinFiveSecondsWithoutFalseAlarms() {
            TestSeeds.forEach(SEEDS, this::assertCrashesDetected);
        }

        private void assertCrashesDetected(long seed) {
            startCluster(seed);
            MembershipScenario.CRASHES.run(cluster, record, DetectorKind.RANDOM_PROBE);
            assertEquals(record.expectedDetections(), record.detections().getTotalCount());
            long p99 = record.detections().getValueAtPercentile(99);
            assertTrue(p99 <= DETECTION_MICROS, "p99=" + p99);
            assertEquals(0, record.falseAlarms());
            assertTrue(cluster.traffic().meanBytesPerSecond(cluster.micros()) <= BYTES_PER_SECOND);
            assertAllViewsComplete();
        }

        /**
         * Two members crash together and restart together up to 2.8 s later. Guards against views
         * in which a new process stays unknown, for example because it announced itself only to the
         * other restarting member.
         */
        @Test
        void completesAllViewsAfterTwoMembersRestartTogether() {
            TestSeeds.forEach(
                    SEEDS,
                    seed -> {
                        startCluster(seed);
                        for (int round = 0; round < 5; round++) {
                            int first = (int) ((seed + 3 * round) % SIZE);
                            int second = (first + 1) % SIZE;
                            cluster.crash(first);
                            cluster.crash(second);
                            cluster.run(Duration.ofMillis(700 * round));
                            cluster.restart(first);
                            cluster.restart(second);
                            runSeconds(8);
                            assertAllViewsComplete();
                        }
                    });
        }
    }

    @Nested
    class Disturbances {
        /**
         * After a pause of 30 s, the member's timer fires before the messages that arrived during
         * the pause are delivered, so all other members look silent. Guards against a member that
         * therefore declares all others dead.
         */
        @Test
        void removesNoOtherMemberAfterPauseAndRejoins() {
            TestSeeds.forEach(
                    SEEDS,
                    seed -> {
                        startCluster(seed);
                        MembershipScenario.PAUSE.run(cluster, record, DetectorKind.RANDOM_PROBE);
                        assertEquals(0, record.falseAlarms());
                        assertAllViewsComplete();
                    });
        }

        /**
         * All messages from each member to one other member are lost. Guards against the removal of
         * a member because of one broken path while it is reachable through other members.
         */
        @Test
        void removesNobodyWhenSomePairsLoseOneDirection() {
            TestSeeds.forEach(
                    SEEDS,
                    seed -> {
                        startCluster(seed);
                        cluster.setLinkRule((from, to, micros) -> to == (from * 7 + 1) % SIZE);
                        runSeconds(60);
                        assertEquals(0, record.falseAlarms());
                        assertAllViewsComplete();
                    });
        }

        /**
         * A tenth of the connections are silent until the transport replaces them after 1.75 s.
         * Guards against the removal of members whose probes were lost on such a connection.
         */
        @Test
        void removesNobodyWhenConnectionsBecomeSilent() {
            TestSeeds.forEach(
                    SEEDS,
                    seed -> {
                        startCluster(seed);
                        MembershipScenario.SILENT_CONNECTIONS.run(
                                cluster, record, DetectorKind.RANDOM_PROBE);
                        assertEquals(0, record.falseAlarms());
                    });
        }

        /**
         * Two regions are partitioned for 120 s and remove each other's members. Guards against
         * regions that never merge again, and against removals of live members during the merge.
         */
        @Test
        void mergesRegionsAfterPartitionWithoutFalseAlarms() {
            TestSeeds.forEach(
                    SEEDS,
                    seed -> {
                        startCluster(seed);
                        DetectionRecord.Partition partition =
                                (one, other) ->
                                        VirtualCluster.inFirstRegion(one)
                                                != VirtualCluster.inFirstRegion(other);
                        record.setPartition(partition);
                        cluster.setLinkRule((from, to, micros) -> partition.separates(from, to));
                        runSeconds(120);
                        assertEquals(12, cluster.detector(0).view().members().size());
                        cluster.setLinkRule(LinkRule.NONE);
                        runSeconds(20);
                        assertEquals(0, record.falseAlarms());
                        assertAllViewsComplete();
                    });
        }

        /**
         * Members pause, crash and restart while links lose messages, in random order. Guards
         * against views that stay incomplete 90 s after the last disturbance.
         */
        @Test
        void completesAllViewsAfterRandomDisturbances() {
            TestSeeds.forEach(SEEDS, this::assertViewsRecover);
        }

        private void assertViewsRecover(long seed) {
            startCluster(seed);
            SplittableRandom random = new SplittableRandom(seed);
            for (int round = 0; round < 20; round++) {
                int one = random.nextInt(SIZE);
                int other = random.nextInt(SIZE);
                double loss = random.nextDouble() * 0.3;
                switch (random.nextInt(4)) {
                    case 0 -> cluster.pause(one, Duration.ofSeconds(random.nextInt(30)));
                    case 1 -> cluster.crash(one);
                    case 2 -> cluster.setLinkRule((from, to, micros) -> from == one || to == other);
                    default ->
                            cluster.setLinkRule((from, to, micros) -> random.nextDouble() < loss);
                }
                runSeconds(random.nextInt(10));
                if (!cluster.isUp(one)) {
                    cluster.restart(one);
                }
            }
            cluster.setLinkRule(LinkRule.NONE);
            runSeconds(90);
            assertAllViewsComplete();
        }
    }

    @Nested
    class ConfigurationPropagation {
        /**
         * One member reads each stored version, and the others receive it from peers; the last
         * version is stored during a partition of 30 s. Guards against members that stay on an old
         * version or revert to it because messages between peers were lost.
         */
        @Test
        void installsChangesAtAllMembersWithinFiveSeconds() {
            TestSeeds.forEach(SEEDS, this::assertChangesInstalled);
        }

        private void assertChangesInstalled(long seed) {
            startCluster(seed);
            Configuration current = SampleTables.configuration(1, 20);
            cluster.configurationHolders().enable(current);
            for (int change = 0; change < 20; change++) {
                current = SampleTables.withChangedRate(current, change);
                cluster.configurationHolders().store(current, 1, 1);
                runSeconds(5);
                assertInForce(current);
            }
            cluster.setLinkRule((from, to, micros) -> from % 2 != to % 2);
            current = SampleTables.withChangedRate(current, 20);
            cluster.configurationHolders().store(current, 1, 1);
            runSeconds(30);
            cluster.setLinkRule(LinkRule.NONE);
            runSeconds(20);
            assertInForce(current);
            assertEquals(0, cluster.configurationHolders().violations());
        }

        private void assertInForce(Configuration current) {
            for (int member = 0; member < SIZE; member++) {
                assertEquals(
                        current.version(),
                        cluster.configurationHolders().holder(member).current().version());
            }
        }
    }

    @Nested
    class MeasurementProgram {
        /**
         * MessageSizes adds cached sizes instead of encoding each message. Guards against traffic
         * figures that differ from the codec's output, for example when an array of more than 15
         * updates needs a longer header.
         */
        @Test
        void computesMessageSizesOfTheCodec() {
            PeerCodec codec = new PeerCodec(new ProcessId("i-0123456789/1700000000000"));
            MessageSizes sizes = new MessageSizes();
            InstanceId id = new InstanceId("i-0123456789");
            MemberUpdate update =
                    new MemberUpdate(
                            id,
                            new ProcessId("i-0123456789/1800000000000"),
                            1_800_000_000_000L,
                            MemberState.ALIVE,
                            Optional.empty());
            ConfigurationVersion version = new ConfigurationVersion(300);
            for (int count : new int[] {0, 1, 15, 16, 48}) {
                List<MemberUpdate> updates = Collections.nCopies(count, update);
                for (MembershipMessage message :
                        List.of(
                                new MembershipMessage.Probe(70_000, version, updates),
                                new MembershipMessage.ProbeAcknowledgement(5, id, version, updates),
                                new MembershipMessage.IndirectProbe(200, id, version, updates),
                                new MembershipMessage.Gossip(version, updates))) {
                    PeerMessage wrapped = PeerMessage.of(message);
                    assertEquals(codec.encode(wrapped).length, sizes.encodedBytes(wrapped));
                }
            }
        }

        /**
         * The baseline detectors run only in the measurement program. Guards against changes of the
         * shared types after which a baseline no longer detects crashed members.
         */
        @Test
        void detectsDomainLossWithEveryDetector() {
            PrintStream out = new PrintStream(new ByteArrayOutputStream());
            for (DetectorKind kind : DetectorKind.values()) {
                DetectionRecord detectionRecord =
                        MembershipMeasurement.measure(
                                MembershipScenario.DOMAIN_LOSS, 10, kind, 1, out);
                assertTrue(detectionRecord.detections().getTotalCount() > 0, kind.text());
            }
        }
    }
}
