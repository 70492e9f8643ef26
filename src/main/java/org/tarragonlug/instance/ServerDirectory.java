package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.InstanceList;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.StateSource;

/**
 * The instance list as last read, and the addresses in it.
 *
 * <p>An instance that disappears has left for good, because the platform never reuses an id. A list
 * that is empty or fails to arrive changes nothing, since the list may be faulty.
 */
final class ServerDirectory implements StateSource {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final InstanceContext context;
    private final InstanceList instanceList;
    private final List<InstanceListListener> listeners = new ArrayList<>();
    private Map<String, ListedInstance> instances = Map.of();
    private boolean readInProgress;
    private boolean down;

    ServerDirectory(InstanceContext context, InstanceList instanceList) {
        this.context = context;
        this.instanceList = instanceList;
    }

    void addListener(InstanceListListener listener) {
        listeners.add(listener);
    }

    void start() {
        read();
        context.every(PERIOD, this::read);
    }

    /** Returns the address of a backend server. */
    Optional<InetSocketAddress> address(ServerId server) {
        return Optional.ofNullable(instances.get(server.value())).map(ListedInstance::address);
    }

    /** Returns the entry of a backend server. */
    Optional<ListedInstance> find(ServerId server) {
        return Optional.ofNullable(instances.get(server.value()));
    }

    private void read() {
        if (readInProgress) {
            return;
        }
        readInProgress = true;
        context.onLoop(instanceList.list(), this::onListRead);
    }

    private void onListRead(List<ListedInstance> listed, Throwable failure) {
        readInProgress = false;
        if (failure != null || listed.isEmpty()) {
            setDown(true);
            return;
        }
        setDown(false);
        Map<String, ListedInstance> byId = new HashMap<>();
        listed.forEach(instance -> byId.put(instance.id(), instance));
        if (!byId.equals(instances)) {
            applyChange(byId);
        }
    }

    private void applyChange(Map<String, ListedInstance> next) {
        Set<InstanceId> removedInstances = new HashSet<>();
        Set<ServerId> removedServers = new HashSet<>();
        for (ListedInstance before : instances.values()) {
            if (!next.containsKey(before.id())) {
                if (before.kind() == InstanceKind.ENTRY) {
                    removedInstances.add(new InstanceId(before.id()));
                } else {
                    removedServers.add(new ServerId(before.id()));
                }
            }
        }
        instances = next;
        List<ListedInstance> all = List.copyOf(next.values());
        listeners.forEach(listener -> listener.onInstanceListChanged(all, removedInstances, removedServers));
    }

    private void setDown(boolean nowDown) {
        if (nowDown != down) {
            down = nowDown;
            LogEvent event = down ? LogEvent.INSTANCE_LIST_DOWN : LogEvent.INSTANCE_LIST_UP;
            context.log().event(event).write();
        }
    }

    @Override
    public String stateName() {
        return "instances";
    }

    @Override
    public JsonNode state() {
        ObjectNode state = Json.object();
        state.put("listDown", down);
        for (ListedInstance instance : instances.values()) {
            ObjectNode entry = state.withObject("/instances").putObject(instance.id());
            entry.put("kind", instance.kind().name());
            entry.put("group", instance.group().value());
            entry.put("address", addressText(instance.address()));
            entry.put("failureDomain", instance.failureDomain().value());
            entry.put("leaving", instance.leaving());
        }
        return state;
    }

    static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
