package org.tarragonlug.decision.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.Invariant;
import org.tarragonlug.decision.InvariantListener;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;

/**
 * Holds the configuration in force at one process and synchronizes it with its peers.
 *
 * <p>Only versions above the installed one are installed, so stale reads, late answers and slow
 * peers never revert the configuration. Versions are written by conditional updates of one object,
 * so each version has the same content in every process. A second content for the same version is
 * reported as an invariant violation.
 *
 * <p>One request is outstanding at a time. If a peer does not answer, the request goes to the next
 * peer that is known to have a newer version. A delta is applied only to exactly the version that
 * it starts from, and the digest of the result is compared. If the digests differ, the complete
 * configuration is requested.
 */
public final class ConfigurationSynchronizer
        implements StateMachine<SynchronizerEvent, SynchronizerCommand> {
    /**
     * Well above the round-trip time between regions and well below the 5 s within which a change
     * must reach all processes.
     */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);

    private static final int MAX_NEWER_PEERS = 16;

    private final ConfigurationDigest digest;
    private final ConfigurationHistory history;
    private final InvariantListener invariants;
    private final TreeMap<InstanceId, ConfigurationVersion> newerPeers = new TreeMap<>();
    private Configuration current = Configuration.EMPTY;
    private long currentDigest;
    private ConfigurationVersion highestVersion = ConfigurationVersion.NONE;
    private Optional<OutstandingRequest> outstanding = Optional.empty();

    /**
     * Creates a synchronizer with the empty configuration.
     *
     * @param hasher hash function that is the same in every process
     * @param invariants notified when I9 ({@link Invariant#CONFIGURATION_NEVER_REVERTS}) would be
     *     violated
     */
    public ConfigurationSynchronizer(Hasher hasher, InvariantListener invariants) {
        this.digest = new ConfigurationDigest(hasher);
        this.history = new ConfigurationHistory();
        this.invariants = invariants;
    }

    /**
     * Returns the configuration in force; {@link Configuration#EMPTY} before the first one is
     * installed.
     */
    public Configuration current() {
        return current;
    }

    @Override
    public List<SynchronizerCommand> handle(SynchronizerEvent event, Instant now) {
        List<SynchronizerCommand> commands = new ArrayList<>();
        if (event instanceof SynchronizerEvent.StoredConfigurationRead read) {
            installIfNewer(read.configuration(), commands);
        } else if (event instanceof SynchronizerEvent.PeerVersionReceived received) {
            recordNewerPeer(received.peer(), received.version());
        } else if (event instanceof SynchronizerEvent.DeltaReceived received) {
            applyDelta(received, now, commands);
        } else if (event instanceof SynchronizerEvent.CompleteConfigurationReceived received) {
            clearOutstanding(received.peer());
            installIfNewer(received.configuration(), commands);
        } else if (event instanceof SynchronizerEvent.RequestReceived request) {
            answerRequest(request, commands);
        }
        requestIfDue(now, commands);
        return commands;
    }

    private void installIfNewer(Configuration configuration, List<SynchronizerCommand> commands) {
        int comparison = configuration.version().compareTo(current.version());
        if (comparison > 0) {
            install(configuration, commands);
        } else if (comparison == 0 && hasOtherContent(configuration)) {
            invariants.invariantViolated(
                    Invariant.CONFIGURATION_NEVER_REVERTS,
                    "version=" + current.version() + " has two contents");
        }
    }

    private boolean hasOtherContent(Configuration other) {
        return digest.of(other.routes(), other.pools()) != currentDigest;
    }

    private void install(Configuration configuration, List<SynchronizerCommand> commands) {
        if (configuration.version().compareTo(highestVersion) <= 0) {
            invariants.invariantViolated(
                    Invariant.CONFIGURATION_NEVER_REVERTS,
                    "installed=" + highestVersion + " offered=" + configuration.version());
            return;
        }
        highestVersion = configuration.version();
        current = configuration;
        currentDigest = digest.of(configuration.routes(), configuration.pools());
        history.add(configuration);
        newerPeers.values().removeIf(version -> version.compareTo(highestVersion) <= 0);
        commands.add(new SynchronizerCommand.Install(configuration));
    }

    private void applyDelta(
            SynchronizerEvent.DeltaReceived received,
            Instant now,
            List<SynchronizerCommand> commands) {
        clearOutstanding(received.peer());
        ConfigurationDelta delta = received.delta();
        if (delta.to().compareTo(current.version()) <= 0) {
            return;
        }
        if (!delta.from().equals(current.version())) {
            recordNewerPeer(received.peer(), delta.to());
            return;
        }
        Configuration next = ConfigurationHistory.apply(current, delta);
        if (digest.of(next.routes(), next.pools()) == delta.digest()) {
            install(next, commands);
        } else {
            recordNewerPeer(received.peer(), delta.to());
            sendRequest(received.peer(), true, now, commands);
        }
    }

    private void answerRequest(
            SynchronizerEvent.RequestReceived request, List<SynchronizerCommand> commands) {
        int comparison = request.installedVersion().compareTo(current.version());
        if (comparison > 0) {
            recordNewerPeer(request.peer(), request.installedVersion());
        }
        if (comparison >= 0) {
            return;
        }
        Optional<ConfigurationDelta> delta =
                request.completeRequested()
                        ? Optional.empty()
                        : history.delta(request.installedVersion(), current, currentDigest);
        if (delta.isPresent()) {
            commands.add(new SynchronizerCommand.SendDelta(request.peer(), delta.get()));
        } else {
            commands.add(
                    new SynchronizerCommand.SendCompleteConfiguration(
                            request.peer(), current, currentDigest));
        }
    }

    /**
     * Records a peer that has a newer version; drops the least advanced peer if there are too many.
     */
    private void recordNewerPeer(InstanceId peer, ConfigurationVersion version) {
        if (version.compareTo(current.version()) <= 0) {
            return;
        }
        newerPeers.merge(peer, version, (a, b) -> a.compareTo(b) > 0 ? a : b);
        if (newerPeers.size() > MAX_NEWER_PEERS) {
            newerPeers.remove(leastAdvancedPeer());
        }
    }

    private InstanceId leastAdvancedPeer() {
        InstanceId leastAdvanced = newerPeers.firstKey();
        for (InstanceId peer : newerPeers.keySet()) {
            if (newerPeers.get(peer).compareTo(newerPeers.get(leastAdvanced)) < 0) {
                leastAdvanced = peer;
            }
        }
        return leastAdvanced;
    }

    private void clearOutstanding(InstanceId peer) {
        if (outstanding.filter(request -> request.peer().equals(peer)).isPresent()) {
            outstanding = Optional.empty();
        }
    }

    /** Sends a request to the most advanced peer, unless an answer is still outstanding. */
    private void requestIfDue(Instant now, List<SynchronizerCommand> commands) {
        if (outstanding.isPresent()) {
            OutstandingRequest request = outstanding.get();
            if (now.isBefore(request.sentAt().plus(ANSWER_TIMEOUT))) {
                return;
            }
            newerPeers.remove(request.peer());
            outstanding = Optional.empty();
        }
        InstanceId mostAdvanced = null;
        for (InstanceId peer : newerPeers.keySet()) {
            if (mostAdvanced == null
                    || newerPeers.get(peer).compareTo(newerPeers.get(mostAdvanced)) > 0) {
                mostAdvanced = peer;
            }
        }
        if (mostAdvanced != null) {
            sendRequest(mostAdvanced, false, now, commands);
        }
    }

    private void sendRequest(
            InstanceId peer,
            boolean completeRequested,
            Instant now,
            List<SynchronizerCommand> commands) {
        outstanding = Optional.of(new OutstandingRequest(peer, now));
        commands.add(new SynchronizerCommand.Request(peer, current.version(), completeRequested));
    }

    private record OutstandingRequest(InstanceId peer, Instant sentAt) {}
}
