package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** A coordinator with routes and servers in virtual time, which tests advance. */
final class ForwardingFixture {
    static final ServiceName ENGINES = new ServiceName("engines");
    static final ServiceName RECORDS = new ServiceName("records");
    static final String HOST = "a.example";

    /** Window in which retries are limited. */
    static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    /** Retries of a budget that no test uses up. */
    private static final int MANY_RETRIES = 1000;

    private static final double RETRIES_PER_SEND = 0.2;

    final ForwardingCoordinator coordinator;
    Instant now = Instant.ofEpochSecond(1000);
    private final String instance;
    private final Map<Long, ForwardAttempt> lastAttempts = new HashMap<>();
    private long lastKey;
    private boolean contentRepeated;

    /** Whether tests answer calls that reserve slots; otherwise servers do not know them. */
    boolean reservingSlots;

    ForwardingFixture() {
        this("");
    }

    /** Creates the coordinator of an instance with a name. */
    ForwardingFixture(String instance) {
        this(instance, MANY_RETRIES);
    }

    private ForwardingFixture(String instance, int retries) {
        this.instance = instance;
        this.coordinator =
                new ForwardingCoordinator(
                        instance,
                        new FailureDomain("home"),
                        text -> text.hashCode() * 0x9e3779b97f4a7c15L,
                        new ForwardingLimits(RETRY_WINDOW, RETRIES_PER_SEND, retries, 1));
    }

    /** Creates the coordinator of an instance whose fixed allowance of retries is limited. */
    static ForwardingFixture withRetries(int retries) {
        return new ForwardingFixture("", retries);
    }

    static ForwardingRoute route(
            String prefix, RequestKind kind, int attempts, boolean resumable, ServiceName service) {
        return new ForwardingRoute(
                new RouteName("route-" + prefix.replace("/", "")),
                HOST,
                prefix,
                kind,
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                1,
                List.of(new WeightedService(service, 1)),
                attempts,
                resumable,
                Duration.ofMillis(400));
    }

    static ForwardingTable table(long version, ForwardingRoute... routes) {
        return new ForwardingTable(
                new ConfigurationVersion(version),
                List.of(routes),
                List.of(
                        new ForwardingService(
                                ENGINES, Optional.of(new ModelCatalog(Map.of(), 200, 8, 4)), 100),
                        new ForwardingService(RECORDS, Optional.empty(), 100)));
    }

    ForwardingFixture withRoutes() {
        handle(
                new ForwardingEvent.TableInstalled(
                        table(
                                1,
                                route("/ask/", RequestKind.STREAMING, 2, true, ENGINES),
                                route("/score/", RequestKind.STREAMING, 1, false, ENGINES),
                                route("/issue/", RequestKind.NON_IDEMPOTENT, 1, false, RECORDS),
                                route("/read/", RequestKind.IDEMPOTENT, 2, false, RECORDS),
                                route("/read/deep/", RequestKind.IDEMPOTENT, 2, false, ENGINES))));
        return this;
    }

    ServerListing listing(String id, ServiceName service, String... models) {
        Map<String, Set<String>> held = new HashMap<>();
        for (String model : models) {
            held.put(model, Set.of());
        }
        return new ServerListing(
                new ServerId(id),
                service,
                "10.0.0.1:" + id.length(),
                new FailureDomain("home"),
                8,
                ListedState.READY,
                1,
                held,
                Set.of(),
                Set.of());
    }

    ForwardingFixture withServer(String id, ServiceName service, String... models) {
        handle(new ForwardingEvent.ServerListed(listing(id, service, models)));
        return this;
    }

    ForwardingFixture withLeavingServer(String id, ServiceName service, String... models) {
        ServerListing ready = listing(id, service, models);
        handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                ready.id(),
                                service,
                                ready.address(),
                                ready.failureDomain(),
                                8,
                                ListedState.LEAVING,
                                1,
                                ready.models(),
                                Set.of(),
                                Set.of())));
        return this;
    }

    List<ForwardingCommand> handle(ForwardingEvent event) {
        List<ForwardingCommand> commands = new ArrayList<>();
        for (ForwardingCommand command : coordinator.handle(event, now)) {
            if (command instanceof ForwardingCommand.Send send) {
                lastAttempts.put(send.request(), send.attempt());
            }
            if (command instanceof ForwardingCommand.ReserveSlot reserve && !reservingSlots) {
                commands.addAll(handle(notSupported(reserve)));
            } else {
                commands.add(command);
            }
        }
        return commands;
    }

    private static ForwardingEvent notSupported(ForwardingCommand.ReserveSlot reserve) {
        return new ForwardingEvent.SlotNotReserved(reserve.attempt(), SlotRefusal.NOT_SUPPORTED);
    }

    /** Returns the last attempt of a request; one that was never begun if it was not sent. */
    ForwardAttempt attempt(long request) {
        return lastAttempts.getOrDefault(request, ForwardAttempt.none(request));
    }

    List<ForwardingCommand> advance(Duration time) {
        List<ForwardingCommand> commands = new ArrayList<>();
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plusMillis(20);
            commands.addAll(handle(new ForwardingEvent.Tick()));
        }
        return commands;
    }

    List<ForwardingCommand> arrive(String path, String model) {
        return arrive(path, model, List.of());
    }

    /** Returns the key of the request that arrived last. */
    long lastKey() {
        return lastKey;
    }

    /** Makes the next request equal to the last one. */
    void repeatLastContent() {
        contentRepeated = true;
    }

    /** Lets a request with these shared parts in its prompt arrive. */
    List<ForwardingCommand> arrive(String path, String model, List<String> parts) {
        lastKey++;
        long contentHash = contentRepeated ? lastKey - 1 : lastKey;
        contentRepeated = false;
        PromptPrefix prefix =
                new PromptPrefix(
                        String.join("|", parts),
                        10 * parts.size(),
                        parts.stream().map(PromptPartId::new).toList());
        return handle(
                new ForwardingEvent.RequestArrived(
                        new ForwardRequest(
                                lastKey,
                                instance + "request-" + lastKey,
                                HOST,
                                path,
                                Optional.of(Duration.ofSeconds(6)),
                                model.isEmpty()
                                        ? Optional.empty()
                                        : Optional.of(ModelKey.parse(model)),
                                prefix,
                                10,
                                10,
                                -1,
                                contentHash)));
    }

    static <T extends ForwardingCommand> Optional<T> find(
            List<ForwardingCommand> commands, Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).findFirst();
    }
}
