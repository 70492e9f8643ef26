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
 * Keeps the configuration in force at one process.
 *
 * <p>It installs only versions above its own, whatever stale reads, late answers or slow peers
 * bring, so a configuration never reverts. Versions are written by conditional updates of one
 * object, so one version has one content everywhere; a second content for the same version is
 * reported as a violation.
 *
 * <p>One request is outstanding at a time. Without an answer the next peer that is known to be
 * ahead is asked. Changed rows are applied only to the exact version they start from, and the
 * digest of the result is compared; on a mismatch the whole configuration is asked for.
 */
public final class ConfigurationHolder implements StateMachine<HolderEvent, HolderCommand> {
    /** Well above the round trip between regions, well below the bound of 5 s. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);

    private static final int PEERS_KEPT = 16;

    private final ConfigurationDigest digest;
    private final ConfigurationHistory history;
    private final InvariantListener invariants;
    private final TreeMap<InstanceId, ConfigurationVersion> ahead = new TreeMap<>();
    private Configuration current = Configuration.EMPTY;
    private long currentDigest;
    private ConfigurationVersion highest = ConfigurationVersion.NONE;
    private Optional<Outstanding> outstanding = Optional.empty();

    /**
     * Creates a holder without a configuration.
     *
     * @param hasher the same in every process
     * @param invariants told when I9 would be violated
     */
    public ConfigurationHolder(Hasher hasher, InvariantListener invariants) {
        this.digest = new ConfigurationDigest(hasher);
        this.history = new ConfigurationHistory();
        this.invariants = invariants;
    }

    /** Returns the configuration in force; {@link Configuration#EMPTY} before the first. */
    public Configuration current() {
        return current;
    }

    @Override
    public List<HolderCommand> handle(HolderEvent event, Instant now) {
        List<HolderCommand> commands = new ArrayList<>();
        if (event instanceof HolderEvent.StoredRead read) {
            offer(read.configuration(), commands);
        } else if (event instanceof HolderEvent.PeerVersionSeen seen) {
            note(seen.peer(), seen.version());
        } else if (event instanceof HolderEvent.RowsReceived received) {
            receiveRows(received, now, commands);
        } else if (event instanceof HolderEvent.WholeReceived received) {
            answered(received.peer());
            offer(received.configuration(), commands);
        } else if (event instanceof HolderEvent.RequestReceived request) {
            answer(request, commands);
        }
        askNext(now, commands);
        return commands;
    }

    private void offer(Configuration configuration, List<HolderCommand> commands) {
        int order = configuration.version().compareTo(current.version());
        if (order > 0) {
            install(configuration, commands);
        } else if (order == 0 && differs(configuration)) {
            invariants.invariantViolated(
                    Invariant.CONFIGURATION_NEVER_REVERTS,
                    "version=" + current.version() + " has two contents");
        }
    }

    private boolean differs(Configuration other) {
        return digest.of(other.routes(), other.pools()) != currentDigest;
    }

    private void install(Configuration configuration, List<HolderCommand> commands) {
        if (configuration.version().compareTo(highest) <= 0) {
            invariants.invariantViolated(
                    Invariant.CONFIGURATION_NEVER_REVERTS,
                    "installed=" + highest + " offered=" + configuration.version());
            return;
        }
        highest = configuration.version();
        current = configuration;
        currentDigest = digest.of(configuration.routes(), configuration.pools());
        history.add(configuration);
        ahead.values().removeIf(version -> version.compareTo(highest) <= 0);
        commands.add(new HolderCommand.Install(configuration));
    }

    private void receiveRows(
            HolderEvent.RowsReceived received, Instant now, List<HolderCommand> commands) {
        answered(received.peer());
        ConfigurationDelta delta = received.delta();
        if (delta.to().compareTo(current.version()) <= 0) {
            return;
        }
        if (!delta.from().equals(current.version())) {
            note(received.peer(), delta.to());
            return;
        }
        Configuration next = ConfigurationHistory.apply(current, delta);
        if (digest.of(next.routes(), next.pools()) == delta.digest()) {
            install(next, commands);
        } else {
            note(received.peer(), delta.to());
            request(received.peer(), true, now, commands);
        }
    }

    private void answer(HolderEvent.RequestReceived request, List<HolderCommand> commands) {
        int order = request.have().compareTo(current.version());
        if (order > 0) {
            note(request.peer(), request.have());
        }
        if (order >= 0) {
            return;
        }
        Optional<ConfigurationDelta> delta =
                request.whole()
                        ? Optional.empty()
                        : history.delta(request.have(), current, currentDigest);
        if (delta.isPresent()) {
            commands.add(new HolderCommand.SendRows(request.peer(), delta.get()));
        } else {
            commands.add(new HolderCommand.SendWhole(request.peer(), current, currentDigest));
        }
    }

    /** Remembers a peer that is ahead, the most advanced ones if there are many. */
    private void note(InstanceId peer, ConfigurationVersion version) {
        if (version.compareTo(current.version()) <= 0) {
            return;
        }
        ahead.merge(peer, version, (a, b) -> a.compareTo(b) > 0 ? a : b);
        if (ahead.size() > PEERS_KEPT) {
            ahead.remove(slowest());
        }
    }

    private InstanceId slowest() {
        InstanceId slowest = ahead.firstKey();
        for (InstanceId peer : ahead.keySet()) {
            if (ahead.get(peer).compareTo(ahead.get(slowest)) < 0) {
                slowest = peer;
            }
        }
        return slowest;
    }

    private void answered(InstanceId peer) {
        if (outstanding.filter(request -> request.peer().equals(peer)).isPresent()) {
            outstanding = Optional.empty();
        }
    }

    /** Asks the most advanced peer, unless an answer is awaited. */
    private void askNext(Instant now, List<HolderCommand> commands) {
        if (outstanding.isPresent()) {
            Outstanding request = outstanding.get();
            if (now.isBefore(request.sentAt().plus(ANSWER_TIMEOUT))) {
                return;
            }
            ahead.remove(request.peer());
            outstanding = Optional.empty();
        }
        InstanceId best = null;
        for (InstanceId peer : ahead.keySet()) {
            if (best == null || ahead.get(peer).compareTo(ahead.get(best)) > 0) {
                best = peer;
            }
        }
        if (best != null) {
            request(best, false, now, commands);
        }
    }

    private void request(
            InstanceId peer, boolean whole, Instant now, List<HolderCommand> commands) {
        outstanding = Optional.of(new Outstanding(peer, now));
        commands.add(new HolderCommand.Request(peer, current.version(), whole));
    }

    private record Outstanding(InstanceId peer, Instant sentAt) {}
}
