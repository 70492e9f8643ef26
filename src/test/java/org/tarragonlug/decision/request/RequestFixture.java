package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.measure.RequestScenario;
import org.tarragonlug.measure.RequestSimulation;

/**
 * Test fixture with a coordinator, engines e1 to e3, which have model m ready, and plain services
 * s1 and s2.
 */
final class RequestFixture {
    static final ArtifactId MODEL = new ArtifactId("m", "1");
    static final ArtifactId COLD = new ArtifactId("cold", "1");
    static final ServerId E1 = new ServerId("e1");
    static final ServerId E2 = new ServerId("e2");
    static final ServerId E3 = new ServerId("e3");
    static final ServerId S1 = new ServerId("s1");
    static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int TICK_MILLIS = 5;

    final List<String> violations = new ArrayList<>();
    final List<RequestCommand> commands = new ArrayList<>();
    final RequestCoordinator coordinator =
            RequestScenario.coordinator(
                    new Random(1), (invariant, detail) -> violations.add(invariant + detail));
    Instant now = Instant.EPOCH;

    RequestFixture() {
        this(
                100,
                RequestScenario.engineRoute("/chat", true, 1),
                RequestScenario.engineRoute("/once", false, 1),
                RequestScenario.serviceRoute("/read", true),
                RequestScenario.serviceRoute("/book", false));
    }

    RequestFixture(int queueLimit, Route... routes) {
        post(
                new RequestEvent.ConfigurationChanged(
                        RequestScenario.configuration(
                                5, queueLimit, List.of("m", "cold"), routes)));
        setServers(RequestSimulation.ENGINES, List.of("e1", "e2", "e3"), "");
        setServers(RequestSimulation.SERVICES, List.of("s1", "s2"), "");
        List.of("e1", "e2", "e3", "s1", "s2")
                .forEach(id -> reportServer(new ServerId(id), "i1", 0, 0));
        setReadyServers(MODEL, E1, E2, E3);
        commands.clear();
    }

    List<RequestCommand> post(RequestEvent event) {
        List<RequestCommand> result = coordinator.handle(event, now);
        commands.addAll(result);
        return result;
    }

    void advance(int millis) {
        for (int passed = 0; passed < millis; passed += TICK_MILLIS) {
            now = now.plusMillis(TICK_MILLIS);
            post(new RequestEvent.Tick());
        }
    }

    void setServers(ServerGroup group, List<String> ids, String leavingId) {
        List<ServerDescription> servers = new ArrayList<>();
        for (String id : ids) {
            FailureDomain domain = new FailureDomain("domain-2");
            servers.add(new ServerDescription(new ServerId(id), domain, id.equals(leavingId)));
        }
        post(new RequestEvent.ServersChanged(group, servers));
    }

    void setReadyServers(ArtifactId artifact, ServerId... servers) {
        post(
                new RequestEvent.ReplicasChanged(
                        RequestSimulation.ENGINES,
                        artifact,
                        Set.of(servers),
                        ColdStart.UNDECIDED,
                        Optional.empty()));
    }

    void setColdStart(ColdStart state, Instant expectedReadyAt) {
        post(
                new RequestEvent.ReplicasChanged(
                        RequestSimulation.ENGINES,
                        COLD,
                        Set.of(),
                        state,
                        Optional.of(expectedReadyAt)));
    }

    void reportServer(ServerId server, String incarnation, int running, int queued) {
        post(
                new RequestEvent.ServerReported(
                        server, incarnation, false, running, queued, Optional.empty(), now));
    }

    RequestId arrive(String id, String path, String model) {
        return arrive(id, path, model, TIMEOUT, Optional.empty());
    }

    RequestId arrive(String id, String path, String model, Duration timeout, Optional<String> key) {
        return arrive(id, RequestScenario.description(path, model, timeout, key, id));
    }

    RequestId arrive(String id, RequestDescription description) {
        RequestId request = new RequestId(id);
        post(new RequestEvent.RequestArrived(request, description));
        return request;
    }

    static RequestDescription description(
            String path, String model, Optional<String> key, String body) {
        return RequestScenario.description(path, model, TIMEOUT, key, body);
    }

    void receiveToken(AttemptId attempt, int offset) {
        post(new RequestEvent.AttemptToken(attempt, offset, "t" + offset));
    }

    void failAttempt(AttemptId attempt, AttemptFailure failure) {
        post(new RequestEvent.AttemptFailed(attempt, failure, "test"));
    }

    void completeAttempt(AttemptId attempt, int tokens) {
        post(new RequestEvent.AttemptCompleted(attempt, tokens, "sum"));
    }

    <T extends RequestCommand> List<T> allOf(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends RequestCommand> T lastOf(Class<T> type) {
        List<T> found = allOf(type);
        if (found.isEmpty()) {
            throw new AssertionError("no " + type.getSimpleName() + " in " + commands);
        }
        return found.get(found.size() - 1);
    }

    RequestCommand.SendGeneration lastGeneration() {
        return lastOf(RequestCommand.SendGeneration.class);
    }

    RequestCommand.Refuse lastRefusal() {
        return lastOf(RequestCommand.Refuse.class);
    }
}
