package org.tarragonlug.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.InFlightTotals;
import org.tarragonlug.decision.forwarding.PaceTotals;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.PlacementCommand;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.decision.placement.PlacementPlanner;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.VirtualTime;

/**
 * The planner with its messages: instances report demand, and each report is answered with the news
 * since the last one. News about a model that an instance waits for are sent at once.
 */
final class SimulatedPlanner {
    private static final Duration TICK = Duration.ofMillis(25);
    private static final Duration NOTICE_VALIDITY = Duration.ofMillis(2500);
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(5);
    private static final double ORDER_MILLIS = 3;
    private static final double REPORT_MILLIS = 6;

    /** As in the program, news that follow a moment after the last totals come without them. */
    private static final Duration TOTALS_INTERVAL = Duration.ofMillis(300);

    private static final class Reporter {
        private Instant totalsSentAt = Instant.EPOCH;
        private Set<ServerId> suspected = Set.of();
        private final List<ForwardingEvent> news = new ArrayList<>();
        private final Set<ModelKey> awaited = new HashSet<>();
        private boolean urgent;
    }

    private final VirtualTime time;
    private final Map<ServerId, ModelServer> servers;
    private final PlacementPlanner planner = new PlacementPlanner(LOAD_WINDOW);
    private final Map<SimulatedInstance, Reporter> reporters = new LinkedHashMap<>();
    private final InFlightTotals inFlightTotals = new InFlightTotals();
    private final PaceTotals paceTotals = new PaceTotals();
    private final Map<String, Integer> orders = new TreeMap<>();
    private boolean suspended;

    SimulatedPlanner(VirtualTime time, Map<ServerId, ModelServer> servers) {
        this.time = time;
        this.servers = servers;
    }

    /** Returns the number of orders by reason, without the names of models. */
    Map<String, Integer> orders() {
        return orders;
    }

    void start(ForwardingTable table) {
        post(new PlacementEvent.TableInstalled(table));
        servers.values().forEach(each -> post(new PlacementEvent.ServerListed(each.listing())));
        post(new PlacementEvent.PlanningBegun());
        post(new PlacementEvent.OrderableServersChanged(servers.keySet()));
        tick();
    }

    /** Stops or resumes planning, as an outage of the store does. */
    void setSuspended(boolean value) {
        suspended = value;
    }

    void onServerListed(ServerListing listing) {
        post(new PlacementEvent.ServerListed(listing));
        post(new PlacementEvent.OrderableServersChanged(Set.copyOf(servers.keySet())));
    }

    void onServerRemoved(ServerId server) {
        post(new PlacementEvent.ServerUnlisted(server));
    }

    private void tick() {
        if (!suspended) {
            post(new PlacementEvent.PacesLearnt(paceTotals.learnt(time.now())));
            post(new PlacementEvent.Tick());
        }
        time.after(TICK, this::tick);
    }

    void onReport(
            SimulatedInstance from,
            List<ModelDemand> demands,
            Map<ServerId, Integer> inFlight,
            Set<ServerId> unreachable,
            Map<ServerId, Integer> answerPaces,
            Map<ServerId, Integer> statedPaces) {
        paceTotals.onReport(answerPaces, statedPaces, time.now());
        post(new PlacementEvent.ServersUnreachable(from.id(), unreachable));
        inFlightTotals.onReport(from.id(), inFlight, time.now());
        Reporter reporter = reporters.computeIfAbsent(from, each -> new Reporter());
        reporter.awaited.clear();
        demands.stream()
                .filter(demand -> demand.waiting() > 0)
                .forEach(demand -> reporter.awaited.add(demand.key()));
        post(new PlacementEvent.DemandReported(from.id(), demands));
        sendNews(from, reporter);
    }

    private void sendNews(SimulatedInstance to, Reporter reporter) {
        reporter.urgent = false;
        Instant now = time.now();
        Set<ServerId> suspected = planner.suspectedServers(now);
        if (!now.isBefore(reporter.totalsSentAt.plus(TOTALS_INTERVAL))
                || !suspected.equals(reporter.suspected)) {
            reporter.totalsSentAt = now;
            reporter.suspected = suspected;
            reporter.news.add(
                    new ForwardingEvent.LoadAnnounced(
                            inFlightTotals.totals(now),
                            suspected,
                            paceTotals.learnt(now),
                            paceTotals.stated(now)));
        }
        to.onNotice(List.copyOf(reporter.news));
        reporter.news.clear();
    }

    private void post(PlacementEvent event) {
        planner.handle(event, time.now()).forEach(this::execute);
    }

    private void execute(PlacementCommand command) {
        if (command instanceof PlacementCommand.GiveOrder order) {
            giveOrder(order);
        } else if (command instanceof PlacementCommand.RequestReport request) {
            requestReport(request);
        } else if (command instanceof PlacementCommand.AnnounceReplica replica) {
            Instant until = time.now().plus(NOTICE_VALIDITY);
            announce(
                    replica.key(),
                    replica.held(),
                    false,
                    new ForwardingEvent.ReplicaAnnounced(
                            replica.server(), replica.key(), replica.held(), until));
        } else if (command instanceof PlacementCommand.AnnounceExpectation expectation) {
            announce(
                    expectation.key(),
                    true,
                    true,
                    new ForwardingEvent.ModelReadyExpected(
                            expectation.service(), expectation.key(), expectation.ready()));
        }
    }

    private void announce(
            ModelKey key, boolean urgentIfAwaited, boolean awaitingOnly, ForwardingEvent news) {
        reporters.forEach(
                (instance, reporter) -> {
                    boolean awaited = reporter.awaited.contains(key);
                    if (awaited || !awaitingOnly) {
                        reporter.news.add(news);
                    }
                    if (awaited && urgentIfAwaited && !reporter.urgent) {
                        reporter.urgent = true;
                        time.afterMillis(0, () -> sendNews(instance, reporter));
                    }
                });
    }

    private void giveOrder(PlacementCommand.GiveOrder order) {
        String reason = order.reason().replaceAll("_for_.*", "");
        orders.merge(order.order().action() + " " + reason, 1, Integer::sum);
        ModelServer server = servers.get(order.server());
        time.afterMillis(
                ORDER_MILLIS,
                () -> {
                    var result = server.execute(order.order());
                    orders.merge("result " + result, 1, Integer::sum);
                    time.afterMillis(
                            ORDER_MILLIS,
                            () ->
                                    post(
                                            new PlacementEvent.OrderAnswered(
                                                    order.server(),
                                                    order.startedMillis(),
                                                    order.order(),
                                                    result)));
                });
    }

    private void requestReport(PlacementCommand.RequestReport request) {
        ModelServer server = servers.get(request.server());
        time.afterMillis(
                REPORT_MILLIS,
                () ->
                        post(
                                server.isDown()
                                        ? new PlacementEvent.ReportFailed(
                                                request.server(), request.startedMillis())
                                        : new PlacementEvent.ReportReceived(
                                                request.server(),
                                                request.startedMillis(),
                                                server.report())));
    }
}
