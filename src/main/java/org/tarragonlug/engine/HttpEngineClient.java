package org.tarragonlug.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.tarragonlug.decision.capacity.Order;
import org.tarragonlug.decision.capacity.OrderOutcome;
import org.tarragonlug.decision.capacity.ServerReport;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;

/**
 * Client for model engines over HTTP: streamed generation, orders and reports.
 *
 * <p>Each call uses a new connection. A server may send an answer once more later, and no answer
 * names its call, so on a connection with an earlier call a late answer to that call would be taken
 * for the answer to the next one. Also, open connections may have become silent, and a call on a
 * connection that the server has just closed has an unknown outcome. For an order, its slot would
 * then stay open until the full time for resolving unknown outcomes has passed.
 */
public final class HttpEngineClient implements EngineClient {
    private static final byte[] NO_BODY = new byte[0];
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    private final HttpConnections connections;
    private final Duration orderTimeout;
    private final Duration longestSilence;
    private final Supplier<Instant> clock;

    /**
     * Creates the client.
     *
     * @param connections HTTP connections of the process
     * @param orderTimeout longest wait for the outcome of an order, which is {@code UNKNOWN} after
     *     it
     * @param longestSilence progress deadline of a stream: after its first token, the generation
     *     fails if no data arrives for this time
     * @param clock supplies the current time, which becomes the time of receipt of reports
     */
    public HttpEngineClient(
            HttpConnections connections,
            Duration orderTimeout,
            Duration longestSilence,
            Supplier<Instant> clock) {
        this.connections = connections;
        this.orderTimeout = orderTimeout;
        this.longestSilence = longestSilence;
        this.clock = clock;
    }

    @Override
    public CompletionStage<OrderOutcome> order(
            InetSocketAddress address, Order order, CompletionStage<Void> cancellation) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("operation", order.operation().value());
        body.put("kind", order.kind().name());
        body.put("server", order.server().value());
        body.put("artifact", order.artifact().toString());
        order.baseModel().ifPresent(base -> body.put("baseModel", base.toString()));
        body.put("memoryBytes", order.memoryBytes());
        body.put("fence", order.fence().value());
        HttpCall call =
                new HttpCall(
                        "POST",
                        "/orders",
                        JSON,
                        JsonFields.bytes(body),
                        orderTimeout,
                        ConnectionUse.NEW);
        CompletableFuture<OrderOutcome> outcome = new CompletableFuture<>();
        connections
                .exchange(address, call, cancellation)
                .whenComplete(
                        (answer, cause) ->
                                outcome.complete(
                                        cause == null ? readOutcome(answer) : outcome(cause)));
        return outcome;
    }

    private static OrderOutcome outcome(Throwable cause) {
        HttpFailure failure = Answers.asFailure(cause);
        return failure.notSent() ? OrderOutcome.NOT_SENT : OrderOutcome.UNKNOWN;
    }

    private static OrderOutcome readOutcome(HttpAnswer answer) {
        if (answer.status() != 200) {
            return EngineError.read(answer.status(), answer.body()).orderOutcome();
        }
        try {
            String outcome = JsonFields.text(JsonFields.parse(answer.body()), "outcome");
            return OrderOutcome.DONE.name().equals(outcome)
                    ? OrderOutcome.DONE
                    : OrderOutcome.UNKNOWN;
        } catch (IllegalArgumentException e) {
            return OrderOutcome.UNKNOWN;
        }
    }

    @Override
    public CompletionStage<ServerReport> report(ServerId server, InetSocketAddress address) {
        Duration timeout = connections.limits().responseTimeout();
        return Answers.read(
                connections.exchange(address, HttpCall.get("/report", timeout, ConnectionUse.NEW)),
                answer -> {
                    if (answer.status() != 200) {
                        throw unreachable(server, "status " + answer.status(), null);
                    }
                    return EngineReportJson.read(
                            server, JsonFields.parse(answer.body()), clock.get());
                },
                failure -> unreachable(server, failure.getMessage(), failure));
    }

    @Override
    public Generation generate(
            InetSocketAddress address, GenerationRequest request, GenerationListener listener) {
        if (!(request.body() instanceof ObjectNode callerBody)) {
            listener.onFailed(AttemptFailure.REJECTED, "the body is not a JSON object");
            return () -> {};
        }
        ObjectNode body = callerBody.deepCopy();
        body.put("model", request.artifact().toString());
        body.put("stream", true);
        HttpCall call =
                new HttpCall(
                        "POST",
                        request.path(),
                        headers(request),
                        JsonFields.bytes(body),
                        request.remaining(),
                        ConnectionUse.NEW);
        StreamedGeneration generation =
                new StreamedGeneration(
                        request.resumeOffset(),
                        listener,
                        () -> cancel(address, request.attempt()),
                        connections.timers(),
                        longestSilence);
        generation.setExchange(connections.start(address, call, generation));
        return generation;
    }

    private static Map<String, String> headers(GenerationRequest request) {
        return Map.of(
                "content-type",
                "application/json",
                EngineProtocol.ATTEMPT_HEADER,
                request.attempt().value(),
                EngineProtocol.RESUME_HEADER,
                Integer.toString(request.resumeOffset()),
                EngineProtocol.REMAINING_HEADER,
                Long.toString(request.remaining().toMillis()),
                EngineProtocol.PRIORITY_HEADER,
                request.priority().name());
    }

    /**
     * Asks the engine to stop an attempt. The result is ignored, because the engine also stops when
     * it notices the closed connection.
     */
    private void cancel(InetSocketAddress address, AttemptId attempt) {
        String target = "/attempts/" + JsonFields.pathSegment(attempt.value());
        Duration timeout = connections.limits().responseTimeout();
        connections.exchange(
                address,
                new HttpCall("DELETE", target, Map.of(), NO_BODY, timeout, ConnectionUse.NEW));
    }

    private static TarragonlugException unreachable(ServerId server, String detail, Throwable e) {
        return new TarragonlugException(
                ErrorCode.BACKEND_UNREACHABLE, "server " + server + ": " + detail, e);
    }
}
