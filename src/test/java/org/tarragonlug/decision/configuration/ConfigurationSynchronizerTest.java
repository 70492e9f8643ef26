package org.tarragonlug.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

class ConfigurationSynchronizerTest {
    private static final Instant START = Instant.ofEpochMilli(1_000_000);
    private static final InstanceId PEER_A = new InstanceId("peer");
    private static final InstanceId PEER_B = new InstanceId("other");

    private final List<String> violations = new ArrayList<>();
    private final ConfigurationSynchronizer synchronizer = newSynchronizer();

    private ConfigurationSynchronizer newSynchronizer() {
        return new ConfigurationSynchronizer(
                ConfigurationSamples.HASHER,
                (invariant, detail) -> violations.add(invariant + " " + detail));
    }

    private static Configuration configuration(long version) {
        return ConfigurationSamples.configuration(version, (int) version);
    }

    private List<SynchronizerCommand> handle(SynchronizerEvent event, long millis) {
        return synchronizer.handle(event, START.plusMillis(millis));
    }

    private static ConfigurationVersion version(long version) {
        return new ConfigurationVersion(version);
    }

    @Nested
    class NeverReverts {
        /**
         * Guards against a revert: a stale read or a slow peer delivers a version below the
         * installed one.
         */
        @Test
        void ignoresOlderVersionsFromStoreAndPeers() {
            handle(new SynchronizerEvent.StoredConfigurationRead(configuration(5)), 0);
            assertEquals(
                    List.of(),
                    handle(new SynchronizerEvent.StoredConfigurationRead(configuration(4)), 1));
            assertEquals(
                    List.of(),
                    handle(
                            new SynchronizerEvent.CompleteConfigurationReceived(
                                    PEER_A, configuration(3), 0),
                            2));
            assertEquals(version(5), synchronizer.current().version());
            assertEquals(List.of(), violations);
        }

        /**
         * Guards against two processes that have different contents under the same version: peers
         * compare only versions, so no process would detect and repair the difference.
         */
        @Test
        void reportsViolationWhenOneVersionHasTwoContents() {
            handle(new SynchronizerEvent.StoredConfigurationRead(configuration(5)), 0);
            Configuration conflicting = new Configuration(version(5), List.of(), List.of());
            handle(new SynchronizerEvent.StoredConfigurationRead(conflicting), 1);
            assertEquals(1, violations.size());
            assertEquals(configuration(5), synchronizer.current());
        }
    }

    @Nested
    class Deltas {
        private final ConfigurationSynchronizer source = newSynchronizer();

        private ConfigurationDelta delta(long from, long to) {
            for (long version = from; version <= to; version++) {
                source.handle(
                        new SynchronizerEvent.StoredConfigurationRead(configuration(version)),
                        START);
            }
            return assertInstanceOf(
                            SynchronizerCommand.SendDelta.class,
                            source.handle(
                                            new SynchronizerEvent.RequestReceived(
                                                    PEER_A, version(from), false),
                                            START)
                                    .get(0))
                    .delta();
        }

        /**
         * Guards against a delta across two versions that omits changed rows or does not apply
         * them.
         */
        @Test
        void appliedDeltaGivesCompleteContentOfNewVersion() {
            ConfigurationDelta delta = delta(2, 4);
            assertEquals(2, delta.routes().size());
            handle(new SynchronizerEvent.StoredConfigurationRead(configuration(2)), 0);
            handle(new SynchronizerEvent.DeltaReceived(PEER_A, delta), 1);
            assertEquals(version(4), synchronizer.current().version());
            assertEquals(configuration(4).routes(), synchronizer.current().routes());
        }

        /**
         * Guards against mixed content: a delta from version 3 is applied to version 2 and the rows
         * changed in between are missing.
         */
        @Test
        void requestsDeltaAgainWhenItStartsFromAnotherVersion() {
            ConfigurationDelta delta = delta(3, 4);
            handle(new SynchronizerEvent.StoredConfigurationRead(configuration(2)), 0);
            assertEquals(
                    List.of(new SynchronizerCommand.Request(PEER_A, version(2), false)),
                    handle(new SynchronizerEvent.DeltaReceived(PEER_A, delta), 1));
            assertEquals(version(2), synchronizer.current().version());
        }

        /**
         * Guards against installing incomplete content: a faulty delta lacks rows, so its result
         * does not match the digest of the peer.
         */
        @Test
        void requestsCompleteConfigurationAfterDigestMismatch() {
            ConfigurationDelta correctDelta = delta(2, 3);
            ConfigurationDelta incompleteDelta =
                    new ConfigurationDelta(
                            correctDelta.from(),
                            correctDelta.to(),
                            List.of(),
                            List.of(),
                            correctDelta.pools(),
                            List.of(),
                            correctDelta.digest());
            handle(new SynchronizerEvent.StoredConfigurationRead(configuration(2)), 0);
            assertEquals(
                    List.of(new SynchronizerCommand.Request(PEER_A, version(2), true)),
                    handle(new SynchronizerEvent.DeltaReceived(PEER_A, incompleteDelta), 1));
            handle(
                    new SynchronizerEvent.CompleteConfigurationReceived(
                            PEER_A, configuration(3), correctDelta.digest()),
                    2);
            assertEquals(configuration(3), synchronizer.current());
        }

        /**
         * Guards against a peer that can never catch up, because its version is no longer in the
         * history and no delta can be computed.
         */
        @Test
        void sendsCompleteConfigurationToPeerOlderThanHistory() {
            for (long version = 1; version <= ConfigurationHistory.CAPACITY + 2; version++) {
                handle(
                        new SynchronizerEvent.StoredConfigurationRead(configuration(version)),
                        version);
            }
            List<SynchronizerCommand> answer =
                    handle(new SynchronizerEvent.RequestReceived(PEER_A, version(1), false), 100);
            assertInstanceOf(SynchronizerCommand.SendCompleteConfiguration.class, answer.get(0));
        }
    }

    @Nested
    class RequestTimeouts {
        /**
         * Guards against a process that keeps an old version forever after an answer is lost,
         * because it waits for this answer and sends no other request.
         */
        @Test
        void requestsFromAnotherPeerAfterAnswerTimeout() {
            handle(new SynchronizerEvent.PeerVersionReceived(PEER_A, version(3)), 0);
            assertEquals(
                    List.of(),
                    handle(new SynchronizerEvent.PeerVersionReceived(PEER_B, version(2)), 10));
            assertEquals(List.of(), handle(new SynchronizerEvent.Tick(), 600));
            assertEquals(
                    List.of(new SynchronizerCommand.Request(PEER_B, version(0), false)),
                    handle(new SynchronizerEvent.Tick(), 800));
        }
    }

    @Nested
    class Randomised {
        /**
         * Guards against reverts and diverging contents. The network loses, delays and reorders
         * messages, some reads are stale, and two processes at a time are restarted without a
         * configuration.
         */
        @Test
        void synchronizersConvergeWithoutRevertingOverLossyNetwork() {
            TestSeeds.forEach(20, this::converge);
        }

        private void converge(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            LossyNetwork network = new LossyNetwork(6, random, ConfigurationSynchronizerTest.this);
            for (long version = 1; version <= 60; version++) {
                network.read(random.nextInt(6), configuration(version));
                network.read(random.nextInt(6), configuration(1 + random.nextLong(version)));
                if (random.nextInt(10) == 0) {
                    int first = random.nextInt(6);
                    network.restart(first);
                    network.restart((first + 1) % 6);
                }
                network.run(random.nextInt(400), 0.3);
            }
            network.read(0, configuration(60));
            network.run(20_000, 0.3);
            for (ConfigurationSynchronizer each : network.synchronizers) {
                assertEquals(configuration(60), withRoutesSorted(each.current()));
            }
            assertEquals(List.of(), violations);
        }

        private Configuration withRoutesSorted(Configuration configuration) {
            Map<Object, Route> rows = new HashMap<>();
            configuration.routes().forEach(route -> rows.put(route.name(), route));
            List<Route> routes =
                    configuration(configuration.version().value()).routes().stream()
                            .map(route -> rows.get(route.name()))
                            .toList();
            return new Configuration(configuration.version(), routes, configuration.pools());
        }
    }

    /** Synchronizers that exchange their versions over a network that loses and delays messages. */
    private static final class LossyNetwork {
        private static final int STEP_MILLIS = 20;

        final List<ConfigurationSynchronizer> synchronizers = new ArrayList<>();
        private final List<Long> installed = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private final SplittableRandom random;
        private final ConfigurationSynchronizerTest test;
        private long millis;

        LossyNetwork(int size, SplittableRandom random, ConfigurationSynchronizerTest test) {
            this.random = random;
            this.test = test;
            for (int index = 0; index < size; index++) {
                synchronizers.add(test.newSynchronizer());
                installed.add(0L);
            }
        }

        void restart(int index) {
            synchronizers.set(index, test.newSynchronizer());
            installed.set(index, 0L);
        }

        void read(int index, Configuration configuration) {
            handle(index, new SynchronizerEvent.StoredConfigurationRead(configuration));
        }

        void run(long length, double loss) {
            for (long end = millis + length; millis < end; millis += STEP_MILLIS) {
                int from = random.nextInt(synchronizers.size());
                int to = random.nextInt(synchronizers.size());
                send(
                        to,
                        new SynchronizerEvent.PeerVersionReceived(
                                id(from), synchronizers.get(from).current().version()),
                        loss);
                for (Message message : List.copyOf(messages)) {
                    if (message.deliverAtMillis() <= millis) {
                        messages.remove(message);
                        handle(message.to(), message.event());
                    }
                }
                for (int index = 0; index < synchronizers.size(); index++) {
                    handle(index, new SynchronizerEvent.Tick());
                }
            }
        }

        private void send(int to, SynchronizerEvent event, double loss) {
            if (random.nextDouble() >= loss) {
                messages.add(new Message(millis + random.nextInt(300), to, event));
            }
        }

        private void handle(int index, SynchronizerEvent event) {
            for (SynchronizerCommand command :
                    synchronizers.get(index).handle(event, START.plusMillis(millis))) {
                if (command instanceof SynchronizerCommand.Install install) {
                    long version = install.configuration().version().value();
                    assertTrue(version > installed.get(index));
                    installed.set(index, version);
                } else if (command instanceof SynchronizerCommand.Request request) {
                    send(
                            index(request.peer()),
                            new SynchronizerEvent.RequestReceived(
                                    id(index),
                                    request.installedVersion(),
                                    request.completeRequested()),
                            0.3);
                } else if (command instanceof SynchronizerCommand.SendDelta answer) {
                    send(
                            index(answer.peer()),
                            new SynchronizerEvent.DeltaReceived(id(index), answer.delta()),
                            0.3);
                } else if (command
                        instanceof SynchronizerCommand.SendCompleteConfiguration complete) {
                    send(
                            index(complete.peer()),
                            new SynchronizerEvent.CompleteConfigurationReceived(
                                    id(index), complete.configuration(), complete.digest()),
                            0.3);
                }
            }
        }

        private static InstanceId id(int index) {
            return new InstanceId("h" + index);
        }

        private static int index(InstanceId id) {
            return Integer.parseInt(id.value().substring(1));
        }

        private record Message(long deliverAtMillis, int to, SynchronizerEvent event) {}
    }
}
