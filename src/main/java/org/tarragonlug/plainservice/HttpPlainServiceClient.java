package org.tarragonlug.plainservice;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
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
import org.tarragonlug.id.ServerId;

/**
 * Client for plain services over HTTP.
 *
 * <p>Each call uses a new connection. The server may close a pooled connection at the moment of
 * sending, and then it is unknown whether the call ran. It may also send an answer once more later,
 * and no answer names its call, so a late answer would be taken for the next one. A service that
 * refuses a call before it runs answers with status 503 and the header {@value #NOT_RUN_HEADER};
 * every other answer is passed on, without its connection headers.
 */
public final class HttpPlainServiceClient implements PlainServiceClient {
    /** Header of an answer to a call that did not run: {@code leaving} or {@code overloaded}. */
    public static final String NOT_RUN_HEADER = "x-not-run";

    /** Header with the id of the attempt. */
    public static final String ATTEMPT_HEADER = "x-attempt-id";

    /** Header with the milliseconds left until the caller's deadline. */
    public static final String REMAINING_HEADER = "x-remaining-ms";

    private static final int UNAVAILABLE = 503;

    /** Headers that concern one connection or the framing; the HTTP library sets them itself. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private final HttpConnections connections;

    /**
     * Creates the client.
     *
     * @param connections HTTP connections of the process
     */
    public HttpPlainServiceClient(HttpConnections connections) {
        this.connections = connections;
    }

    @Override
    public void call(InetSocketAddress address, ServiceCall call, ServiceListener listener) {
        Map<String, String> headers = withoutConnectionHeaders(call.headers());
        headers.put(ATTEMPT_HEADER, call.attempt().value());
        headers.put(REMAINING_HEADER, Long.toString(call.remaining().toMillis()));
        HttpCall request =
                new HttpCall(
                        call.method(),
                        call.path(),
                        headers,
                        call.body(),
                        call.remaining(),
                        ConnectionUse.NEW);
        connections
                .exchange(address, request)
                .whenComplete(
                        (answer, cause) -> {
                            if (cause == null) {
                                handleAnswer(answer, listener);
                            } else {
                                HttpFailure failure = Answers.asFailure(cause);
                                listener.onFailed(attemptFailure(failure), failure.getMessage());
                            }
                        });
    }

    private static void handleAnswer(HttpAnswer answer, ServiceListener listener) {
        String refusal = answer.headers().get(NOT_RUN_HEADER);
        if (answer.status() == UNAVAILABLE && "leaving".equals(refusal)) {
            listener.onFailed(AttemptFailure.REFUSED_LEAVING, "the server is leaving");
        } else if (answer.status() == UNAVAILABLE && "overloaded".equals(refusal)) {
            listener.onFailed(AttemptFailure.REFUSED_OVERLOADED, "the server is overloaded");
        } else {
            listener.onAnswer(
                    new ServiceAnswer(
                            answer.status(),
                            withoutConnectionHeaders(answer.headers()),
                            answer.body()));
        }
    }

    private static AttemptFailure attemptFailure(HttpFailure failure) {
        switch (failure.kind()) {
            case NOT_SENT:
                return AttemptFailure.NOT_SENT;
            case TIMED_OUT:
                return AttemptFailure.SILENT;
            case CONNECTION_LOST:
                return AttemptFailure.CONNECTION_LOST;
            default:
                return AttemptFailure.SERVER_ERROR;
        }
    }

    private static Map<String, String> withoutConnectionHeaders(Map<String, String> headers) {
        Map<String, String> result = new HashMap<>();
        headers.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(Locale.ROOT);
                    if (!CONNECTION_HEADERS.contains(lower)) {
                        result.put(lower, value);
                    }
                });
        return result;
    }

    @Override
    public CompletionStage<ServiceReport> report(ServerId server, InetSocketAddress address) {
        Duration timeout = connections.limits().responseTimeout();
        return Answers.read(
                connections.exchange(address, HttpCall.get("/report", timeout, ConnectionUse.NEW)),
                answer -> readReport(server, answer),
                failure -> unreachable(server, failure.getMessage(), failure));
    }

    private static ServiceReport readReport(ServerId server, HttpAnswer answer)
            throws TarragonlugException {
        if (answer.status() != 200) {
            throw unreachable(server, "status " + answer.status(), null);
        }
        JsonNode body = JsonFields.parse(answer.body());
        return new ServiceReport(
                server,
                JsonFields.text(body, "incarnation"),
                JsonFields.flag(body, "leaving"),
                JsonFields.smallCount(body, "running"));
    }

    private static TarragonlugException unreachable(ServerId server, String detail, Throwable e) {
        return new TarragonlugException(
                ErrorCode.BACKEND_UNREACHABLE, "server " + server + ": " + detail, e);
    }
}
