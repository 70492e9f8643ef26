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
 * Sends messages to peers, and dispatches received messages on the event loop to the driver that
 * handles their type. From the senders of messages it also detects processes that have been
 * replaced by a newer process of the same instance.
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

    /** Sets the handler for a type of message. */
    <M extends PeerMessage> void setHandler(Class<M> kind, BiConsumer<InstanceId, M> handler) {
        handlers.put(kind, (from, message) -> handler.accept(from, kind.cast(message)));
    }

    /** Adds a listener that is called with all processes that have certainly ended. */
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
     * Sends a message to an instance. A message to this instance is dispatched in a later task,
     * because the sending driver may not have executed all of its commands yet.
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

    /** Sends a message to all other live members; only for rare events. */
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
     * Records the process that sends under an instance id. The process ids of an instance increase
     * with the start time. A late message of an old process therefore cannot mark the newer process
     * as ended.
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

    /** Records the processes of instances that were removed from the instance list as ended. */
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
