package org.tarragonlug.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationSynchronizer;
import org.tarragonlug.decision.configuration.SynchronizerCommand;
import org.tarragonlug.decision.configuration.SynchronizerEvent;
import org.tarragonlug.decision.membership.MembershipCommand;
import org.tarragonlug.decision.membership.MembershipEvent;
import org.tarragonlug.decision.membership.Ownership;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.peer.PeerMessage;

/**
 * The configuration holders of the members of a virtual cluster. The class ignores all events until
 * {@link #enable} is called.
 */
final class SimulatedConfigurationHolders {
    private static final long MINIMUM_WATCH_DELAY_MICROS = 5_000;
    private static final long WATCH_JITTER_MICROS = 45_000;

    private final VirtualCluster cluster;
    private final VirtualCluster.Observer observer;
    private final List<ConfigurationSynchronizer> holders = new ArrayList<>();
    private int violations;

    SimulatedConfigurationHolders(VirtualCluster cluster, VirtualCluster.Observer observer) {
        this.cluster = cluster;
        this.observer = observer;
    }

    /** Creates a holder for every member, with a first configuration installed. */
    void enable(Configuration first) {
        for (int member = 0; member < cluster.size(); member++) {
            holders.add(
                    new ConfigurationSynchronizer(
                            VirtualCluster.HASHER, (invariant, detail) -> violations++));
            handle(member, new SynchronizerEvent.StoredConfigurationRead(first));
        }
    }

    int violations() {
        return violations;
    }

    ConfigurationSynchronizer holder(int member) {
        return holders.get(member);
    }

    /**
     * Stores a configuration. The watching members of the first failure domains read it after 5 to
     * 50 ms; the other members receive it from peers.
     */
    void store(Configuration next, int watchersPerDomain, int watchingDomains) {
        Ownership ownership = new Ownership(VirtualCluster.HASHER, cluster.detector(0).view());
        for (int domain = 0; domain < watchingDomains; domain++) {
            FailureDomain name = new FailureDomain("domain-" + domain);
            for (InstanceId watcher :
                    ownership.ranked("configuration/watch", watchersPerDomain, name)) {
                int member = cluster.memberNumber(watcher);
                long delay =
                        MINIMUM_WATCH_DELAY_MICROS + cluster.random().nextLong(WATCH_JITTER_MICROS);
                cluster.schedule(
                        delay,
                        () -> handle(member, new SynchronizerEvent.StoredConfigurationRead(next)));
            }
        }
    }

    void onNewerVersionSeen(int member, MembershipCommand.NewerConfigurationDetected seen) {
        if (!holders.isEmpty()) {
            handle(member, new SynchronizerEvent.PeerVersionReceived(seen.peer(), seen.version()));
        }
    }

    void tick(int member) {
        if (!holders.isEmpty()) {
            handle(member, new SynchronizerEvent.Tick());
        }
    }

    void onMessage(int from, int to, PeerMessage message) {
        InstanceId peer = cluster.instance(from);
        Optional<SynchronizerEvent> event = Optional.empty();
        if (message instanceof PeerMessage.ConfigurationRequest request) {
            event =
                    Optional.of(
                            new SynchronizerEvent.RequestReceived(
                                    peer, request.have(), request.whole()));
        } else if (message instanceof PeerMessage.ConfigurationRows rows) {
            event = Optional.of(new SynchronizerEvent.DeltaReceived(peer, rows.delta()));
        } else if (message instanceof PeerMessage.ConfigurationWhole whole) {
            event =
                    Optional.of(
                            new SynchronizerEvent.CompleteConfigurationReceived(
                                    peer, whole.configuration(), whole.digest()));
        }
        event.ifPresent(holderEvent -> handle(to, holderEvent));
    }

    private void handle(int member, SynchronizerEvent event) {
        for (SynchronizerCommand command : holders.get(member).handle(event, cluster.now(member))) {
            execute(member, command);
        }
    }

    private void execute(int member, SynchronizerCommand command) {
        if (command instanceof SynchronizerCommand.Install install) {
            observer.onConfigurationInstalled(
                    member, install.configuration().version().value(), cluster.micros());
            cluster.handle(
                    member,
                    new MembershipEvent.ConfigurationInstalled(install.configuration().version()));
        } else if (command instanceof SynchronizerCommand.Request request) {
            cluster.send(
                    member,
                    cluster.memberNumber(request.peer()),
                    new PeerMessage.ConfigurationRequest(
                            PeerMessage.FORMAT_VERSION,
                            request.installedVersion(),
                            request.completeRequested()));
        } else if (command instanceof SynchronizerCommand.SendDelta rows) {
            cluster.send(
                    member,
                    cluster.memberNumber(rows.peer()),
                    new PeerMessage.ConfigurationRows(PeerMessage.FORMAT_VERSION, rows.delta()));
        } else if (command instanceof SynchronizerCommand.SendCompleteConfiguration whole) {
            cluster.send(
                    member,
                    cluster.memberNumber(whole.peer()),
                    new PeerMessage.ConfigurationWhole(
                            PeerMessage.FORMAT_VERSION, whole.configuration(), whole.digest()));
        }
    }
}
