package org.tarragonlug.instance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tarragonlug.engine.AnswerChecksum;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.StandInPlatform;
import org.tarragonlug.trial.TrialFleet;

/** Starts entry instances and stand-ins of the platform on loopback, and sends requests to them. */
final class FleetFixture implements AutoCloseable {
    static final String CHAT = "/v1/chat/completions";
    static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final double SCALE = 0.1;

    private final IoExecutor ioExecutor = IoThreads.create(2);
    private final IoExecutor adminExecutor = IoThreads.create(1);
    private final HttpClient client = HttpClient.newHttpClient();
    private final StandInPlatform platform;
    private final TrialFleet fleet;

    FleetFixture(int instances) throws Exception {
        platform = new StandInPlatform(Deployment.CARGAS, ioExecutor, SCALE);
        fleet = new TrialFleet(platform, ioExecutor, adminExecutor, 1);
        for (int number = 1; number <= instances; number++) {
            fleet.start(number);
        }
        if (!fleet.awaitReady(Duration.ofSeconds(20))) {
            throw new IllegalStateException("the instances are not ready after 20 s");
        }
        // Instances that do not know all others may report demand to different deciders.
        await(Duration.ofSeconds(20), () -> allInstancesKnow(instances) && deciderCount() == 1);
    }

    StandInPlatform platform() {
        return platform;
    }

    TrialFleet fleet() {
        return fleet;
    }

    EntryInstance instance(int index) {
        return fleet.instances().get(index % fleet.instances().size());
    }

    private boolean allInstancesKnow(int members) {
        return fleet.instances().stream()
                .map(instance -> instance.state().toCompletableFuture().join())
                .allMatch(state -> state.path("members").size() == members);
    }

    private long deciderCount() {
        return fleet.instances().stream().filter(FleetFixture::isDecider).count();
    }

    EntryInstance decider() {
        return fleet.instances().stream().filter(FleetFixture::isDecider).findFirst().orElseThrow();
    }

    private static boolean isDecider(EntryInstance instance) {
        JsonNode state = instance.state().toCompletableFuture().join();
        return state.path("capacity").path("tutoring").path("decider").asBoolean();
    }

    long violations() {
        return fleet.instances().stream().mapToLong(EntryInstance::violations).sum();
    }

    /** Returns the stored content of the capacity record. */
    JsonNode capacityRecord() {
        return platform.objectApi().peek(new ObjectName("capacity", "tutoring")).content();
    }

    static void await(Duration limit, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition did not become true within " + limit);
            }
            Thread.sleep(20);
        }
    }

    /** An answer to a request: a stream, the answer of a plain service, or a refusal. */
    record Answer(int status, String body, ObjectNode request) {
        boolean isComplete() {
            StringBuilder text = new StringBuilder();
            String checksum = "";
            for (String line : body.split("\n")) {
                if (line.startsWith("data: {")) {
                    JsonNode event = parse(line.substring(6));
                    text.append(event.at("/choices/0/delta/content").asText(""));
                    checksum = event.path("checksum").asText(checksum);
                }
            }
            ArtifactId artifact = ArtifactId.parse(request.path("model").asText());
            return status == 200
                    && body.endsWith("data: [DONE]\n\n")
                    && checksum.equals(AnswerChecksum.of(artifact, request, text.toString()));
        }

        String code() {
            return status == 200 ? "" : parse(body).at("/error/code").asText();
        }

        String execution() {
            return status == 200 ? "" : parse(body).at("/error/execution").asText();
        }

        private static JsonNode parse(String text) {
            try {
                return Json.mapper().readTree(text);
            } catch (java.io.IOException malformed) {
                throw new AssertionError("not JSON: " + text, malformed);
            }
        }
    }

    CompletableFuture<Answer> chat(EntryInstance instance, String model, int tokens) {
        return chat(instance, model, "What is the safe load?", tokens, TIMEOUT);
    }

    CompletableFuture<Answer> chat(
            EntryInstance instance, String model, String text, int tokens, Duration timeout) {
        ObjectNode body = Json.object();
        body.put("model", model).put("max_tokens", tokens).put("stream", true);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        HttpRequest request =
                request(instance.callerAddress(), CHAT)
                        .header("x-request-timeout-ms", Long.toString(timeout.toMillis()))
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        return send(request, body);
    }

    CompletableFuture<Answer> certificate(EntryInstance instance, String key) {
        HttpRequest request =
                request(instance.callerAddress(), "/records/certificates")
                        .header("idempotency-key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"trainee\":7}"))
                        .build();
        return send(request, Json.object());
    }

    private static HttpRequest.Builder request(InetSocketAddress address, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(TIMEOUT.plusSeconds(5));
    }

    private CompletableFuture<Answer> send(HttpRequest request, ObjectNode body) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Answer(response.statusCode(), response.body(), body));
    }

    List<Answer> chats(int count, String model, int tokens) {
        List<CompletableFuture<Answer>> futures = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            futures.add(chat(instance(index), model, tokens));
        }
        return futures.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void close() throws Exception {
        fleet.close();
        platform.close();
        ioExecutor.closeAsync().toFuture().get();
        adminExecutor.closeAsync().toFuture().get();
    }
}
