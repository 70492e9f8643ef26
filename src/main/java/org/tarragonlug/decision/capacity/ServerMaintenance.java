package org.tarragonlug.decision.capacity;

import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.id.ServerId;

/** Brings the servers of the record into line with the instance list and the engines' reports. */
final class ServerMaintenance {
    private final GroupView view;

    ServerMaintenance(GroupView view) {
        this.view = view;
    }

    void apply(Draft draft) {
        if (view.listed().isEmpty()) {
            return;
        }
        Set<ServerId> present = new HashSet<>();
        view.listed().forEach(server -> present.add(server.server()));
        for (ServerEntry entry : draft.record().servers()) {
            if (!present.contains(entry.server())) {
                draft.setRecord(draft.record().withoutServer(entry.server()));
            }
        }
        for (ListedServer server : view.listed()) {
            view.report(server.server()).ifPresent(report -> update(draft, report));
        }
        for (Slot slot : draft.record().slots()) {
            compareWithReport(draft, slot);
        }
    }

    private void update(Draft draft, ServerReport report) {
        CapacityRecord record = draft.record();
        ServerId server = report.server();
        ServerState state = view.isLeaving(server) ? ServerState.LEAVING : ServerState.ACTIVE;
        boolean isNew = record.server(server).isEmpty();
        if (isNew && record.servers().size() >= CapacityRecord.MAXIMUM_SERVERS) {
            return;
        }
        // A server that reports less memory than is reserved keeps what is reserved and gets
        // nothing more.
        long memory = Math.max(report.memoryBytes(), record.usedBytes(server));
        ServerEntry entry = new ServerEntry(server, memory, state);
        if (!record.servers().contains(entry)) {
            draft.setRecord(record.withServer(entry));
        }
    }

    private void compareWithReport(Draft draft, Slot slot) {
        view.reportNewerThanState(slot)
                .ifPresent(
                        report -> {
                            boolean loaded = report.loaded().containsKey(slot.artifact());
                            boolean loading = report.loading().containsKey(slot.artifact());
                            if (slot.state() == SlotState.READY && !loaded && !loading) {
                                draft.setRecord(
                                        draft.record()
                                                .withChangedSlot(
                                                        slot.withState(SlotState.LOADING)));
                            }
                            if (slot.state() == SlotState.LOADING && loaded) {
                                draft.setRecord(
                                        draft.record()
                                                .withChangedSlot(slot.withState(SlotState.READY)));
                            }
                        });
    }
}
