package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tarragonlug.decision.membership.Member;
import org.tarragonlug.decision.membership.MemberView;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerIdentity;
import org.tarragonlug.peer.PeerListener;
import org.tarragonlug.peer.PeerMessage;
import org.tarragonlug.peer.PeerTransport;
import org.tarragonlug.peer.PeerTransportCounts;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/**
 * Passes messages of peers to the drivers that handle their kinds, on the event loop, and learns
 * from the senders which processes have been replaced.
 */
final class PeerMessageDispatcher implements PeerListener, StateSource {
    private final InstanceContext context;
    private final Map<Class<?>, BiConsumer<InstanceId, PeerMessage>> handlers = new HashMap<>();
    private final List<Consumer<Set<ProcessId>>> endedProcessListeners = new ArrayList<>();
    private final Map<InstanceId, ProcessId> processByInstance = new HashMap<>();
    private final Set<ProcessId> endedProcesses = new HashSet<>();
    private PeerTransport transport;
    private MemberView view;

    PeerMessageDispatcher(InstanceContext context) {
        this.context = context;
        this.view = new MemberView(context.instance(), List.of());
    }

    void setTransport(PeerTransport opened) {
        transport = opened;
    }

    /** Sets the handler of a kind of message. */
    <M extends PeerMessage> void setHandler(Class<M> kind, BiConsumer<InstanceId, M> handler) {
        handlers.put(kind, (from, message) -> handler.accept(from, kind.cast(message)));
    }

    /** Adds a listener, told about processes that certainly run no longer. */
    void addEndedProcessListener(Consumer<Set<ProcessId>> listener) {
        endedProcessListeners.add(listener);
    }

    void onViewChanged(MemberView newView) {
        view = newView;
    }

    boolean isAlive(ProcessId process) {
        return process.equals(context.process())
                || view.members().stream().anyMatch(m -> m.process().equals(process));
    }

    /**
     * Sends to an instance. A message to the own instance is handled by a later task, because the
     * driver that sends it may be in the middle of executing commands.
     */
    void send(InstanceId to, PeerMessage message) {
        if (to.equals(context.instance())) {
            context.loop().post(() -> dispatch(to, message));
        } else if (transport != null) {
            transport.send(to, message);
        }
    }

    void send(InetSocketAddress to, PeerMessage message) {
        transport.send(to, message);
    }

    /** Sends to all other live members; for rare events alone. */
    void sendToAll(PeerMessage message) {
        for (Member member : view.members()) {
            if (!member.instance().equals(context.instance())) {
                send(member.instance(), message);
            }
        }
    }

    void setAddress(InstanceId instance, InetSocketAddress address) {
        transport.setAddress(instance, address);
    }

    @Override
    public void onMessage(PeerIdentity from, PeerMessage message) {
        context.loop()
                .post(
                        () -> {
                            recordProcess(from.instance(), from.process());
                            dispatch(from.instance(), message);
                        });
    }

    @Override
    public void onConnectionRejected(String remoteAddress, TarragonlugException reason) {
        context.log()
                .event(LogEvent.PEER_FRAME_INVALID)
                .with("remote", remoteAddress)
                .with("reason", reason.getMessage())
                .write();
    }

    private void dispatch(InstanceId from, PeerMessage message) {
        BiConsumer<InstanceId, PeerMessage> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(from, message);
        }
    }

    /**
     * Notes the process that answers under an instance id. Process ids of one instance grow with
     * their start time, so that an old message cannot make the newer process look gone.
     */
    private void recordProcess(InstanceId instance, ProcessId process) {
        ProcessId known = processByInstance.get(instance);
        if (known == null) {
            processByInstance.put(instance, process);
        } else if (process.compareTo(known) > 0) {
            processByInstance.put(instance, process);
            recordEndedProcesses(Set.of(known));
        }
    }

    /** Notes that an instance has left the instance list for good. */
    void onInstancesRemoved(Set<InstanceId> instances) {
        Set<ProcessId> ended = new HashSet<>();
        for (InstanceId instance : instances) {
            Optional.ofNullable(processByInstance.remove(instance)).ifPresent(ended::add);
        }
        recordEndedProcesses(ended);
    }

    private void recordEndedProcesses(Set<ProcessId> ended) {
        if (endedProcesses.addAll(ended)) {
            endedProcessListeners.forEach(listener -> listener.accept(Set.copyOf(endedProcesses)));
        }
    }

    @Override
    public String stateName() {
        return "peers";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        PeerTransportCounts counts = transport.counts();
        state.put("sent", counts.sent());
        state.put("received", counts.received());
        state.put("dropped", counts.dropped());
        state.put("unknownKinds", counts.unknownKinds());
        state.put("rejected", counts.rejected());
        state.put("silent", counts.silent());
        state.put("bytesSent", counts.bytesSent());
        state.put("bytesReceived", counts.bytesReceived());
        processByInstance.forEach(
                (instance, process) ->
                        state.withObject("/processes").put(instance.value(), process.value()));
        return state;
    }
}
