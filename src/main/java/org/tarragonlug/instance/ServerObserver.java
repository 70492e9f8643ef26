package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.ServiceReport;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.LogEvent;

/** Turns what backend servers report into events of the request coordinator. */
final class ServerObserver implements ReportListener {
    private final InstanceContext context;
    private final Consumer<RequestEvent> coordinator;
    private final Map<ServerId, String> incarnations = new HashMap<>();
    private final Set<ServerId> leavingServers = new HashSet<>();

    ServerObserver(InstanceContext context, Consumer<RequestEvent> coordinator) {
        this.context = context;
        this.coordinator = coordinator;
    }

    /** Returns the last known incarnation of a server. */
    Optional<String> incarnation(ServerId server) {
        return Optional.ofNullable(incarnations.get(server));
    }

    @Override
    public void onEngineReport(ServerReport report, Instant askedAt) {
        onServerReport(
                new RequestEvent.ServerReported(
                        report.server(),
                        report.incarnation(),
                        report.leaving(),
                        report.running(),
                        report.queued(),
                        Optional.of(report.loaded().keySet()),
                        askedAt));
    }

    @Override
    public void onServiceReport(ServiceReport report, Instant askedAt) {
        Optional<Set<ArtifactId>> noArtifacts = Optional.empty();
        onServerReport(
                new RequestEvent.ServerReported(
                        report.server(),
                        report.incarnation(),
                        report.leaving(),
                        report.running(),
                        0,
                        noArtifacts,
                        askedAt));
    }

    private void onServerReport(RequestEvent.ServerReported report) {
        incarnations.put(report.server(), report.incarnation());
        if (!report.leaving()) {
            leavingServers.remove(report.server());
        } else if (leavingServers.add(report.server())) {
            context.log().event(LogEvent.SERVER_LEAVING).with("server", report.server()).write();
        }
        coordinator.accept(report);
    }

    @Override
    public void onUnreachable(ServerId server, boolean connectionRefused) {
        coordinator.accept(
                connectionRefused
                        ? new RequestEvent.ServerLost(server, incarnation(server))
                        : new RequestEvent.ServerUnreachable(server));
    }

    ObjectNode state() {
        ObjectNode state = Json.object();
        incarnations.forEach((server, incarnation) -> state.put(server.value(), incarnation));
        return state;
    }
}
