package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.decision.membership.Candidate;
import org.tarragonlug.decision.membership.DetectorSettings;
import org.tarragonlug.decision.membership.FailureDetector;
import org.tarragonlug.decision.membership.Member;
import org.tarragonlug.decision.membership.MembershipCommand;
import org.tarragonlug.decision.membership.MembershipEvent;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.decision.membership.Ownership;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.runtime.Addresses;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/** Runs the failure detector and tells the other drivers who owns what. */
final class MembershipDriver implements InstanceListListener, StateSource {
    /** Observer of peers that have a newer configuration. */
    interface VersionListener {
        /** Called when a peer said that it has a newer configuration. */
        void onNewerConfiguration(InstanceId peer, ConfigurationVersion version);
    }

    private final InstanceContext context;
    private final PeerMessageDispatcher peers;
    private final FailureDetector detector;
    private final List<Consumer<Ownership>> listeners = new ArrayList<>();
    private VersionListener versionListener = (peer, version) -> {};
    private Ownership ownership;

    MembershipDriver(InstanceContext context, PeerMessageDispatcher peers, FailureDetector detector) {
        this.context = context;
        this.peers = peers;
        this.detector = detector;
        this.ownership = new Ownership(context.hasher(), detector.view());
        peers.setHandler(PeerMessage.Probe.class, this::onMessage);
        peers.setHandler(PeerMessage.ProbeAcknowledgement.class, this::onMessage);
        peers.setHandler(PeerMessage.IndirectProbe.class, this::onMessage);
        peers.setHandler(PeerMessage.Gossip.class, this::onMessage);
    }

    /** Adds a listener, called with each new ownership. */
    void addListener(Consumer<Ownership> listener) {
        listeners.add(listener);
    }

    void setVersionListener(VersionListener listener) {
        versionListener = listener;
    }

    Ownership ownership() {
        return ownership;
    }

    List<InstanceId> liveInstances() {
        return detector.view().members().stream().map(Member::instance).toList();
    }

    void start() {
        peers.onViewChanged(detector.view());
        listeners.forEach(listener -> listener.accept(ownership));
        context.every(DetectorSettings.DEFAULT.tick(), () -> handle(new MembershipEvent.Tick()));
    }

    void leave() {
        handle(new MembershipEvent.Leaving());
    }

    void onConfigurationInstalled(ConfigurationVersion version) {
        handle(new MembershipEvent.ConfigurationInstalled(version));
    }

    @Override
    public void onInstanceListChanged(
            List<ListedInstance> instances,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers) {
        List<Candidate> candidates = new ArrayList<>();
        for (ListedInstance instance : instances) {
            if (instance.kind() == InstanceKind.ENTRY) {
                InstanceId id = new InstanceId(instance.id());
                candidates.add(
                        new Candidate(
                                id,
                                ServerDirectory.addressText(instance.address()),
                                instance.failureDomain()));
                peers.setAddress(id, instance.address());
            }
        }
        peers.onInstancesRemoved(removedInstances);
        handle(new MembershipEvent.CandidatesListed(candidates));
    }

    private void onMessage(InstanceId from, PeerMessage.Membership message) {
        MembershipMessage content = message.content();
        handle(new MembershipEvent.MessageReceived(from, content));
    }

    private void handle(MembershipEvent event) {
        for (MembershipCommand command : detector.handle(event, context.now())) {
            execute(command);
        }
    }

    private void execute(MembershipCommand command) {
        if (command instanceof MembershipCommand.Send send) {
            // The detector may know a member from gossip before it knows its address.
            if (!send.address().isEmpty()) {
                Addresses.parse(send.address())
                        .ifPresent(address -> peers.setAddress(send.to(), address));
            }
            peers.send(send.to(), PeerMessage.of(send.message()));
        } else if (command instanceof MembershipCommand.ViewChanged changed) {
            applyView(changed);
        } else if (command instanceof MembershipCommand.NewerConfigurationDetected seen) {
            versionListener.onNewerConfiguration(seen.peer(), seen.version());
        }
    }

    private void applyView(MembershipCommand.ViewChanged changed) {
        changed.joined().forEach(instance -> log(LogEvent.MEMBER_ALIVE, instance));
        changed.lost().forEach(instance -> log(LogEvent.MEMBER_FAILED, instance));
        ownership = new Ownership(context.hasher(), changed.view());
        peers.onViewChanged(changed.view());
        listeners.forEach(listener -> listener.accept(ownership));
    }

    private void log(LogEvent event, InstanceId instance) {
        context.log().event(event).with("member", instance).write();
    }

    @Override
    public String stateName() {
        return "members";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        for (Member member : detector.view().members()) {
            ObjectNode entry = state.putObject(member.instance().value());
            entry.put("process", member.process().value());
            entry.put("address", member.address());
            entry.put("failureDomain", member.failureDomain().value());
            entry.put("incarnation", member.incarnation());
            entry.put("state", member.state().name());
        }
        return state;
    }
}
