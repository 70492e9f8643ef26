package org.tarragonlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.placement.ServerReport;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.runtime.Json;

/**
 * Sends orders to the model servers of the platform and reads their reports.
 *
 * <p>Each call uses a new connection. A server may send an answer once more later, and answers to
 * orders and reports name nothing, so on a connection with an earlier call a late answer to that
 * call would be taken for the answer to the next one.
 */
public final class PlatformEngineClient {
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(220);
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RESERVATION_TIMEOUT = Duration.ofMillis(250);

    /** How long a slot stays reserved that no request uses. */
    private static final Duration RESERVATION_TIME = Duration.ofMillis(500);

    /** Statuses of a server that does not know a call. */
    private static final Set<Integer> UNKNOWN_CALL = Set.of(404, 405, 501);

    private static final String EXPECT_INSTANCE = "tarragonlug-expect-instance";
    private static final String REQUEST_ID = "tarragonlug-request-id";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;

    private final HttpConnections connections;

    /**
     * Creates a client for all model servers.
     *
     * @param connections the HTTP connections of the process
     */
    public PlatformEngineClient(HttpConnections connections) {
        this.connections = connections;
    }

    /**
     * Sends an order to a server.
     *
     * @param server the intended server; another server at the address rejects the order
     * @param address the server's address
     * @param action whether to load or to unload
     * @param key the model, or the adapter
     * @param precondition the number of orders that the server must have accepted before
     * @param holder the instance that holds the order lease
     * @param fence fencing token of the holder's lease
     * @param maySend whether the holder still may give orders; asked before the order is written
     * @return the server's answer; {@code NOT_SENT} if the holder might not give it any more,
     *     {@code UNKNOWN} without an answer. The stage never fails.
     */
    public CompletionStage<OrderResult> sendOrder(
            ServerId server,
            InetSocketAddress address,
            OrderAction action,
            ModelKey key,
            long precondition,
            InstanceId holder,
            FencingToken fence,
            BooleanSupplier maySend) {
        ObjectNode body = Json.object();
        body.put("op", action == OrderAction.LOAD ? "model_load" : "model_unload");
        body.put("model", key.model());
        if (key.hasAdapter()) {
            body.put("adapter", key.adapter());
        }
        body.put("precondition", precondition);
        body.put("holder", holder.value());
        body.put("fence", fence.value());
        HttpCall call =
                new HttpCall(
                        "POST",
                        PlatformPaths.ORDER,
                        Map.of("content-type", "application/json", EXPECT_INSTANCE, server.value()),
                        Json.bytes(body),
                        ORDER_TIMEOUT,
                        ConnectionUse.NEW);
        return connections
                .exchange(address, call, maySend)
                .handle((answer, failure) -> failure == null ? result(answer) : result(failure));
    }

    private static OrderResult result(Throwable failure) {
        boolean withdrawn = Answers.asFailure(failure).kind() == HttpFailure.Kind.WITHDRAWN;
        return withdrawn ? OrderResult.NOT_SENT : OrderResult.UNKNOWN;
    }

    private static OrderResult result(HttpAnswer answer) {
        if (belongsToRequest(answer)) {
            return OrderResult.UNKNOWN;
        }
        return switch (answer.status()) {
            case ACCEPTED -> OrderResult.ACCEPTED;
            case OK -> OrderResult.ALREADY_DONE;
            case CONFLICT -> OrderResult.CONFLICT;
            default -> answer.status() >= SERVER_ERROR ? OrderResult.UNKNOWN : OrderResult.REFUSED;
        };
    }

    /**
     * Returns whether an answer names a request of a caller, and so is no answer to a call of this
     * client.
     */
    private static boolean belongsToRequest(HttpAnswer answer) {
        return answer.headers().containsKey(REQUEST_ID);
    }

    /**
     * Reads the report of a server.
     *
     * @param server the intended server
     * @param address the server's address
     * @return the report; fails with {@code BACKEND_UNREACHABLE} if the server does not answer with
     *     status 200
     */
    public CompletionStage<ServerReport> fetchReport(ServerId server, InetSocketAddress address) {
        HttpCall call =
                new HttpCall(
                        "GET",
                        PlatformPaths.REPORT,
                        Map.of(EXPECT_INSTANCE, server.value()),
                        new byte[0],
                        REPORT_TIMEOUT,
                        ConnectionUse.NEW);
        return Answers.read(
                connections.exchange(address, call),
                answer -> {
                    if (answer.status() != OK || belongsToRequest(answer)) {
                        throw new TarragonlugException(
                                ErrorCode.BACKEND_UNREACHABLE,
                                "status " + answer.status() + " from the server");
                    }
                    return decode(JsonFields.parse(answer.body()));
                },
                failure ->
                        new TarragonlugException(
                                ErrorCode.BACKEND_UNREACHABLE, failure.getMessage(), failure));
    }

    /**
     * Asks a server to reserve a slot. A reservation that is not used ends by itself.
     *
     * @param server the intended server
     * @param address the server's address
     * @param tokens memory to reserve, in tokens
     * @return the reserved slot; fails with {@code BACKEND_CALL_UNKNOWN} if the server knows no
     *     such calls, and with {@code BACKEND_UNREACHABLE} if it has no room or does not answer
     */
    public CompletionStage<ReservationId> reserveSlot(
            ServerId server, InetSocketAddress address, int tokens) {
        ObjectNode body = Json.object();
        body.put("tokens", tokens);
        body.put("ttl_ms", RESERVATION_TIME.toMillis());
        HttpCall call =
                new HttpCall(
                        "POST",
                        PlatformPaths.RESERVE_SLOT,
                        Map.of("content-type", "application/json", EXPECT_INSTANCE, server.value()),
                        Json.bytes(body),
                        RESERVATION_TIMEOUT,
                        ConnectionUse.NEW);
        return Answers.read(
                connections.exchange(address, call),
                PlatformEngineClient::decodeReservation,
                failure ->
                        new TarragonlugException(
                                ErrorCode.BACKEND_UNREACHABLE, failure.getMessage(), failure));
    }

    private static ReservationId decodeReservation(HttpAnswer answer) throws TarragonlugException {
        if (!belongsToRequest(answer) && UNKNOWN_CALL.contains(answer.status())) {
            throw new TarragonlugException(
                    ErrorCode.BACKEND_CALL_UNKNOWN, "the server reserves no slots");
        }
        String slot =
                answer.status() == OK && !belongsToRequest(answer)
                        ? JsonFields.parse(answer.body()).path("hold").asText()
                        : "";
        if (slot.isEmpty()) {
            throw new TarragonlugException(
                    ErrorCode.BACKEND_UNREACHABLE,
                    "status " + answer.status() + " from the server");
        }
        return new ReservationId(slot);
    }

    /**
     * Releases a reserved slot. If the call is lost, the reservation ends by itself.
     *
     * @param server the server
     * @param address the server's address
     * @param slot the slot
     */
    public void releaseSlot(ServerId server, InetSocketAddress address, ReservationId slot) {
        HttpCall call =
                new HttpCall(
                        "DELETE",
                        PlatformPaths.RELEASE_SLOT + slot.value(),
                        Map.of(EXPECT_INSTANCE, server.value()),
                        new byte[0],
                        RESERVATION_TIMEOUT,
                        ConnectionUse.NEW);
        connections.exchange(address, call);
    }

    /**
     * Finds out whether a server still runs. Any answer shows that it does, unless another server
     * gives it.
     *
     * @param server the intended server
     * @param address the server's address
     * @return whether the server answered; the stage never fails
     */
    public CompletionStage<Boolean> isAlive(ServerId server, InetSocketAddress address) {
        HttpCall call =
                new HttpCall(
                        "GET",
                        PlatformPaths.REPORT,
                        Map.of(EXPECT_INSTANCE, server.value()),
                        new byte[0],
                        REPORT_TIMEOUT,
                        ConnectionUse.NEW);
        return connections
                .exchange(address, call)
                .handle((answer, failure) -> failure == null && answer.status() != MISDIRECTED);
    }

    private static ServerReport decode(JsonNode body) {
        Map<String, Set<String>> models = ServerEntryDecoder.models(body.path("models"));
        // Adapters that are being loaded are written as MODEL/NAME@VERSION.
        for (String pending : ServerEntryDecoder.names(body.path("pending"))) {
            int slash = pending.indexOf('/');
            if (slash > 0) {
                models.computeIfAbsent(pending.substring(0, slash), model -> new HashSet<>())
                        .add(pending.substring(slash + 1));
            }
        }
        return new ServerReport(
                models, body.path("busy").asBoolean(), JsonFields.count(body, "seq"));
    }
}
