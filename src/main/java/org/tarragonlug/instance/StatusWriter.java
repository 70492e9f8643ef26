package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;

/**
 * Writes the status of each server group whose decider is this instance to the object API, if the
 * status has changed. A failed write is repeated in the next period.
 */
final class StatusWriter {
    private final InstanceContext context;
    private final MonitoredObjectApi objectApi;
    private final StatusReport report;
    private final CapacityDrivers capacity;
    private final Map<ServerGroup, ObjectNode> lastWritten = new HashMap<>();
    private final Set<ServerGroup> writesInProgress = new HashSet<>();

    StatusWriter(
            InstanceContext context,
            MonitoredObjectApi objectApi,
            StatusReport report,
            CapacityDrivers capacity) {
        this.context = context;
        this.objectApi = objectApi;
        this.report = report;
        this.capacity = capacity;
    }

    void write() {
        if (!objectApi.isUp()) {
            return;
        }
        capacity.drivers()
                .forEach(
                        (group, driver) -> {
                            if (driver.isDecider()) {
                                write(group);
                            } else {
                                lastWritten.remove(group);
                            }
                        });
    }

    private void write(ServerGroup group) {
        ObjectNode status = report.groupStatus(group);
        if (status.equals(lastWritten.get(group)) || !writesInProgress.add(group)) {
            return;
        }
        ObjectName name = new ObjectName("status", "group-" + group);
        context.onLoop(
                objectApi.read(name).thenCompose(object -> write(name, status, object.version())),
                (written, failure) -> {
                    writesInProgress.remove(group);
                    if (failure == null) {
                        lastWritten.put(group, status);
                    }
                });
    }

    private CompletionStage<StorePosition> write(ObjectName name, ObjectNode status, long version) {
        return ((ObjectApi) objectApi).write(name, status, version);
    }
}
