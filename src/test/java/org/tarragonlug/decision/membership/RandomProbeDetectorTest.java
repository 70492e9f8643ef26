package org.tarragonlug.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.configuration.ConfigurationSamples;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

class RandomProbeDetectorTest {
    private static final ConfigurationVersion VERSION = new ConfigurationVersion(4);

    private final RandomProbeDetector detector =
            new RandomProbeDetector(
                    candidate("self"),
                    new ProcessId("self-1"),
                    100,
                    DetectorSettings.DEFAULT,
                    ConfigurationSamples.HASHER,
                    new SplittableRandom(5));
    private long millis = 1_000_000;

    RandomProbeDetectorTest() {
        handle(
                new MembershipEvent.CandidatesListed(
                        List.of(candidate("self"), candidate("a"), candidate("b"))));
    }

    private static Candidate candidate(String name) {
        return new Candidate(new InstanceId(name), name + ":1", new FailureDomain("d"));
    }

    private List<MembershipCommand> handle(MembershipEvent event) {
        return detector.handle(event, Instant.ofEpochMilli(millis));
    }

    private List<MembershipCommand> tick(long length) {
        List<MembershipCommand> commands = new ArrayList<>();
        for (long end = millis + length; millis < end; millis += 100) {
            commands.addAll(handle(new MembershipEvent.Tick()));
        }
        return commands;
    }

    private List<MembershipCommand> receive(String from, MemberUpdate... updates) {
        return handle(
                new MembershipEvent.MessageReceived(
                        new InstanceId(from),
                        new MembershipMessage.Probe(9, VERSION, List.of(updates))));
    }

    private static MemberUpdate claim(String name, long incarnation, MemberState state) {
        return new MemberUpdate(
                new InstanceId(name),
                new ProcessId(name + "-1"),
                incarnation,
                state,
                Optional.empty());
    }

    private boolean isInView(String name) {
        return detector.view().member(new InstanceId(name)).isPresent();
    }

    /**
     * Guards against the removal of a live member: it receives a false suspicion of itself and does
     * not refute it.
     */
    @Test
    void refutesSuspicionOfSelfWithHigherIncarnation() {
        List<MembershipCommand> commands = receive("a", claim("self", 100, MemberState.SUSPECT));
        MembershipMessage answer =
                commands.stream()
                        .filter(MembershipCommand.Send.class::isInstance)
                        .map(command -> ((MembershipCommand.Send) command).message())
                        .findFirst()
                        .orElseThrow();
        assertEquals(101, answer.updates().get(0).incarnation());
        assertEquals(MemberState.ALIVE, answer.updates().get(0).state());
    }

    /**
     * Guards against the removal of a live member: suspect and dead claims with an old incarnation
     * arrive after the member refuted them.
     */
    @Test
    void keepsMemberThatRefutedSuspicion() {
        receive("a", claim("b", 7, MemberState.ALIVE));
        receive("a", claim("b", 6, MemberState.SUSPECT));
        receive("a", claim("b", 7, MemberState.SUSPECT));
        receive("a", claim("b", 8, MemberState.ALIVE));
        receive("a", claim("b", 7, MemberState.DEAD));
        for (int round = 0; round < 5; round++) {
            tick(300);
            receive("a", claim("b", 8, MemberState.ALIVE));
        }
        assertTrue(isInView("b"));
    }

    /**
     * Guards against the removal of live members after a partition: the other side had declared
     * them dead and sends these claims when both sides merge.
     */
    @Test
    void deadClaimAboutAliveMemberRaisesOnlySuspicionAtFirst() {
        receive("a", claim("b", 7, MemberState.ALIVE));
        receive("a", claim("b", 7, MemberState.DEAD));
        assertTrue(isInView("b"));
        tick(1_200);
        assertFalse(isInView("b"));
    }

    /**
     * Guards against a leaving member that stays in the view, and so keeps its ownership, until
     * probes find it dead, and against a process that leaves without an announcement.
     */
    @Test
    void removesLeavingMemberAtOnce() {
        receive("a", claim("b", 7, MemberState.LEFT));
        assertFalse(isInView("b"));
        assertFalse(handle(new MembershipEvent.Leaving()).isEmpty());
    }

    /**
     * Guards against the removal of live members after a pause: the suspicion time ends during the
     * pause, while the refutation has arrived but has not been read yet.
     */
    @Test
    void restartsSuspicionTimeAfterPauseOfOwnProcess() {
        tick(200);
        receive("a", claim("b", 7, MemberState.SUSPECT));
        millis += 30_000;
        List<MembershipCommand> commands = handle(new MembershipEvent.Tick());
        assertTrue(
                commands.stream().anyMatch(MembershipCommand.LocalPauseDetected.class::isInstance));
        assertTrue(isInView("b"));
        receive("a", claim("b", 8, MemberState.ALIVE));
        assertTrue(isInView("b"));
    }

    /**
     * Guards against a process that keeps an old configuration, because it ignores the newer
     * version in the messages of its peers.
     */
    @Test
    void reportsNewerConfigurationOfPeer() {
        assertTrue(
                receive("a")
                        .contains(
                                new MembershipCommand.NewerConfigurationDetected(
                                        new InstanceId("a"), VERSION)));
        handle(new MembershipEvent.ConfigurationInstalled(VERSION));
        assertTrue(
                receive("a").stream()
                        .noneMatch(MembershipCommand.NewerConfigurationDetected.class::isInstance));
    }

    @Nested
    class ExtraProbes {
        private static final int LOST_DOMAIN_SIZE = 5;

        private List<InstanceId> probeTargets(List<MembershipCommand> commands) {
            return commands.stream()
                    .filter(MembershipCommand.Send.class::isInstance)
                    .map(MembershipCommand.Send.class::cast)
                    .filter(send -> send.message() instanceof MembershipMessage.Probe)
                    .map(MembershipCommand.Send::to)
                    .toList();
        }

        private List<MembershipCommand> receiveIndirectProbe(String target) {
            return handle(
                    new MembershipEvent.MessageReceived(
                            new InstanceId("a"),
                            new MembershipMessage.IndirectProbe(
                                    1, new InstanceId(target), VERSION, List.of())));
        }

        @BeforeEach
        void listLostDomainAsCandidates() {
            List<Candidate> candidates =
                    new ArrayList<>(List.of(candidate("self"), candidate("a"), candidate("b")));
            for (int member = 0; member < LOST_DOMAIN_SIZE; member++) {
                candidates.add(
                        new Candidate(
                                new InstanceId("lost" + member), "l:1", new FailureDomain("lost")));
            }
            handle(new MembershipEvent.CandidatesListed(candidates));
        }

        /**
         * Guards against late detection when a complete failure domain is lost: members whose
         * probers are lost too would wait for the next period to be probed.
         */
        @Test
        void missedProbeTriggersProbeOfAnotherMemberOfSameDomain() {
            List<InstanceId> probed = probeTargets(receiveIndirectProbe("lost0"));
            assertEquals(new InstanceId("lost0"), probed.get(0));
            assertEquals(2, probed.size());
            String member = probed.get(1).value();
            assertTrue(member.startsWith("lost") && !member.equals("lost0"), member);
            tick(4_000);
            assertFalse(isInView(member));
        }

        /**
         * Guards against exceeding the byte budget: when many paths are broken, each missed probe
         * would start an extra probe.
         */
        @Test
        void limitsExtraProbesAfterManyMissedProbes() {
            int sent = 0;
            for (int round = 0; round < 10; round++) {
                sent +=
                        probeTargets(receiveIndirectProbe("lost" + round % LOST_DOMAIN_SIZE))
                                .size();
            }
            assertEquals(10 + 2, sent);
        }
    }

    @Nested
    class PartitionMerges {
        private MemberUpdate[] transfer() {
            List<MemberUpdate> all = new ArrayList<>();
            for (int other = 0; other < DetectorSettings.DEFAULT.updateLimit(); other++) {
                all.add(claim("unlisted" + other, 1, MemberState.DEAD));
            }
            all.add(claim("b", 7, MemberState.DEAD));
            return all.toArray(MemberUpdate[]::new);
        }

        /**
         * Guards against the removal of live members when two regions merge: several members of the
         * other region transfer the same stale dead claims, and the suspicion time ends before the
         * refutation arrives.
         */
        @Test
        void transferredDeadClaimsLeaveTimeToRefute() {
            receive("b", claim("b", 7, MemberState.ALIVE));
            receive("a", transfer());
            receive("a", transfer());
            tick(3_000);
            assertTrue(isInView("b"));
            tick(4_000);
            assertFalse(isInView("b"));
        }

        /**
         * Guards against spreading stale claims: the receiver recognises a transfer by the size of
         * its messages and mistakes a short last part for normal updates.
         */
        @Test
        void splitsTransferIntoEvenParts() {
            MemberTable table = new MemberTable(new InstanceId("self"));
            List<Candidate> candidates = new ArrayList<>();
            for (int member = 0; member < 409; member++) {
                candidates.add(candidate("m" + member));
            }
            table.updateCandidates(candidates, Instant.EPOCH);
            List<List<MemberUpdate>> parts = table.splitClaims(192);
            assertEquals(List.of(136, 136, 137), parts.stream().map(List::size).toList());
        }

        /**
         * Guards against the removal of a live member by a member that missed its refutation and
         * keeps sending the old suspicion.
         */
        @Test
        void acknowledgementOfStaleSuspicionCarriesRefutation() {
            receive("b", claim("b", 8, MemberState.ALIVE));
            MemberUpdate known = claim("b", 8, MemberState.ALIVE);
            for (int round = 0; round < 10; round++) {
                MembershipCommand.Send send =
                        receive("a", claim("b", 7, MemberState.SUSPECT)).stream()
                                .filter(MembershipCommand.Send.class::isInstance)
                                .map(MembershipCommand.Send.class::cast)
                                .findFirst()
                                .orElseThrow();
                assertTrue(send.message().updates().contains(known));
            }
        }
    }

    @Nested
    class UpdateDissemination {
        private final UpdateQueue queue = new UpdateQueue();
        private final MemberUpdate change = claim("b", 8, MemberState.ALIVE);

        private int takenAfterTenReceivedCopies() {
            for (int copy = 0; copy < 10; copy++) {
                queue.countReceivedCopy(change);
            }
            return queue.take(48, 410).size();
        }

        /**
         * Guards against wasted bytes: an update is sent again and again, although the copies
         * received from other members show that they know it.
         */
        @Test
        void stopsSendingUpdateAfterManyReceivedCopies() {
            queue.add(change);
            assertEquals(1, queue.takePushes(48, Instant.EPOCH).size());
            assertEquals(0, takenAfterTenReceivedCopies());
            assertEquals(0, queue.takePushes(48, Instant.EPOCH.plusSeconds(1)).size());
        }

        /**
         * Guards against a live member that stays removed at some members: copies received from
         * others end the sending of its refutation before these members have it.
         */
        @Test
        void sendsRefutationDespiteReceivedCopies() {
            queue.addRefutation(change);
            queue.takePushes(48, Instant.EPOCH);
            assertEquals(1, takenAfterTenReceivedCopies());
            assertEquals(1, queue.takePushes(48, Instant.EPOCH.plusSeconds(1)).size());
        }
    }
}
