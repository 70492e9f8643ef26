package org.tarragonlug.instance;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.plainservice.PlainServiceClient;

/**
 * Asks backend servers for their reports.
 *
 * <p>Asked are the servers of the groups that this instance decides for, and those it has used
 * lately; so no server is asked by every instance, and the cost does not grow with the product of
 * instances and servers. Each server is asked once a second, and less often when there are many: at
 * most 64 are asked a second, so that 128 servers, the most of a group, are asked every 2 s, which
 * is the age that the capacity planner still takes for fresh.
 */
final class ReportPoller implements InstanceListListener {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final int MAXIMUM_POLLS_PER_PERIOD = 64;
    private static final Duration RECENT_USE = Duration.ofSeconds(30);

    private final InstanceContext context;
    private final ServerDirectory directory;
    private final EngineClient engines;
    private final PlainServiceClient services;
    private final List<ReportListener> listeners = new ArrayList<>();
    private final Set<ServerGroup> decidedGroups = new HashSet<>();
    private final Map<ServerId, Instant> usedAt = new HashMap<>();
    private final Map<ServerId, Instant> askedAt = new HashMap<>();
    private final Set<ServerId> pendingReports = new HashSet<>();
    private Map<ServerId, ListedInstance> servers = Map.of();

    ReportPoller(
            InstanceContext context,
            ServerDirectory directory,
            EngineClient engines,
            PlainServiceClient services) {
        this.context = context;
        this.directory = directory;
        this.engines = engines;
        this.services = services;
    }

    void addListener(ReportListener listener) {
        listeners.add(listener);
    }

    void start() {
        context.every(PERIOD, this::poll);
    }

    /** Sets whether this instance decides for a group. */
    void setDeciding(ServerGroup group, boolean decides) {
        if (decides) {
            decidedGroups.add(group);
            poll();
        } else {
            decidedGroups.remove(group);
        }
    }

    /** Notes that a server is in use. */
    void markUsed(ServerId server) {
        usedAt.put(server, context.now());
    }

    @Override
    public void onInstanceListChanged(
            List<ListedInstance> instances,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers) {
        Map<ServerId, ListedInstance> present = new HashMap<>();
        for (ListedInstance instance : instances) {
            if (instance.kind() != InstanceKind.ENTRY) {
                present.put(new ServerId(instance.id()), instance);
            }
        }
        servers = present;
        usedAt.keySet().retainAll(present.keySet());
        askedAt.keySet().retainAll(present.keySet());
        poll();
    }

    private void poll() {
        Instant usedSince = context.now().minus(RECENT_USE);
        usedAt.values().removeIf(at -> at.isBefore(usedSince));
        List<ServerId> candidates = new ArrayList<>();
        servers.forEach(
                (server, instance) -> {
                    if (decidedGroups.contains(instance.group()) || usedAt.containsKey(server)) {
                        candidates.add(server);
                    }
                });
        candidates.sort(Comparator.comparing(server -> askedAt.getOrDefault(server, Instant.MIN)));
        candidates.stream().limit(MAXIMUM_POLLS_PER_PERIOD).forEach(this::requestReport);
    }

    /** Asks one server now, unless it is being asked. */
    void requestReport(ServerId server) {
        Optional<ListedInstance> instance = directory.find(server);
        if (instance.isEmpty() || !pendingReports.add(server)) {
            return;
        }
        Instant now = context.now();
        askedAt.put(server, now);
        InetSocketAddress address = instance.get().address();
        if (instance.get().kind() == InstanceKind.ENGINE) {
            requestReport(
                    server,
                    engines.report(server, address),
                    report -> listeners.forEach(l -> l.onEngineReport(report, now)));
        } else {
            requestReport(
                    server,
                    services.report(server, address),
                    report -> listeners.forEach(l -> l.onServiceReport(report, now)));
        }
    }

    private <R> void requestReport(ServerId server, CompletionStage<R> stage, Consumer<R> onReport) {
        context.onLoop(
                stage,
                (report, failure) -> {
                    pendingReports.remove(server);
                    if (failure == null) {
                        onReport.accept(report);
                    } else {
                        boolean refused = Failures.isConnectionRefused(failure);
                        listeners.forEach(l -> l.onUnreachable(server, refused));
                    }
                });
    }
}
