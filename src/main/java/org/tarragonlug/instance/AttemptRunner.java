package org.tarragonlug.instance;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.caller.CallerRequest;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.decision.request.RequestEvent;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.engine.Generation;
import org.tarragonlug.engine.GenerationListener;
import org.tarragonlug.engine.GenerationRequest;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.plainservice.PlainServiceClient;
import org.tarragonlug.plainservice.ServiceAnswer;
import org.tarragonlug.plainservice.ServiceCall;
import org.tarragonlug.plainservice.ServiceListener;

/**
 * Runs attempts at backend servers, and turns what becomes of them into events on the event loop.
 */
final class AttemptRunner {
    /** The generation and answer of an attempt in progress at a backend server. */
    private static final class RunningAttempt {
        private Generation generation;
        private ServiceAnswer answer;
    }

    private final InstanceContext context;
    private final ServerDirectory directory;
    private final ReportPoller poller;
    private final EngineClient engines;
    private final PlainServiceClient services;
    private final ColdStartTimes coldStarts;
    private final Consumer<RequestEvent> events;
    private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();

    /**
     * Creates a runner without attempts.
     *
     * @param directory the addresses of servers
     * @param poller asks servers that are in use for reports
     * @param coldStarts measures how long first attempts have waited
     * @param events receives what becomes of the attempts, on the event loop
     */
    AttemptRunner(
            InstanceContext context,
            ServerDirectory directory,
            ReportPoller poller,
            EngineClient engines,
            PlainServiceClient services,
            ColdStartTimes coldStarts,
            Consumer<RequestEvent> events) {
        this.context = context;
        this.directory = directory;
        this.poller = poller;
        this.engines = engines;
        this.services = services;
        this.coldStarts = coldStarts;
        this.events = events;
    }

    /** Returns the number of attempts that have not been removed. */
    int count() {
        return attempts.size();
    }

    /** Returns the answer of an attempt; empty if there is none. */
    Optional<ServiceAnswer> answer(AttemptId attempt) {
        return Optional.ofNullable(attempts.get(attempt)).map(running -> running.answer);
    }

    /**
     * Sends a generation.
     *
     * @param exchange the request; empty if it has ended
     */
    void send(RequestCommand.SendGeneration send, Optional<Exchange> exchange) {
        Optional<InetSocketAddress> address =
                begin("generation", send.attempt(), send.server(), exchange);
        if (address.isEmpty()) {
            return;
        }
        if (exchange.get().attempts().isEmpty()) {
            coldStarts.onFirstAttempt(exchange.get(), send.artifact());
        }
        RunningAttempt running = add(send.attempt(), exchange.get());
        CallerRequest request = exchange.get().request();
        GenerationRequest generation =
                new GenerationRequest(
                        send.attempt(),
                        send.artifact(),
                        request.path(),
                        request.json().orElseThrow(),
                        send.priority(),
                        send.resumeOffset(),
                        send.remaining());
        running.generation = engines.generate(address.get(), generation, listener(send.attempt()));
    }

    /**
     * Sends a call to a plain service.
     *
     * @param exchange the request; empty if it has ended
     */
    void send(RequestCommand.SendCall send, Optional<Exchange> exchange) {
        Optional<InetSocketAddress> address =
                begin("call", send.attempt(), send.server(), exchange);
        if (address.isEmpty()) {
            return;
        }
        add(send.attempt(), exchange.get());
        CallerRequest request = exchange.get().request();
        String target =
                request.query().isEmpty() ? request.path() : request.path() + "?" + request.query();
        ServiceCall call =
                new ServiceCall(
                        send.attempt(),
                        request.method(),
                        target,
                        request.headers(),
                        request.body(),
                        send.remaining());
        services.call(address.get(), call, serviceListener(send.attempt()));
    }

    /** Returns where to send an attempt; empty if it fails because it can't be sent. */
    private Optional<InetSocketAddress> begin(
            String kind, AttemptId attempt, ServerId server, Optional<Exchange> exchange) {
        context.metrics().attempts().labelValues(kind).inc();
        Optional<InetSocketAddress> address = directory.address(server);
        if (exchange.isEmpty() || address.isEmpty()) {
            postFailure(
                    attempt,
                    AttemptFailure.NOT_SENT,
                    "the request has ended or the server is not listed");
            return Optional.empty();
        }
        poller.markUsed(server);
        return address;
    }

    private RunningAttempt add(AttemptId attempt, Exchange exchange) {
        RunningAttempt running = new RunningAttempt();
        attempts.put(attempt, running);
        exchange.attempts().add(attempt);
        return running;
    }

    /** Cancels an attempt and removes it. */
    void cancel(AttemptId attempt) {
        RunningAttempt running = attempts.remove(attempt);
        if (running != null && running.generation != null) {
            running.generation.cancel();
        }
    }

    /** Removes the attempts of a request that has ended. */
    void removeAll(Collection<AttemptId> ended) {
        ended.forEach(attempts::remove);
    }

    private GenerationListener listener(AttemptId attempt) {
        return new GenerationListener() {
            @Override
            public void onToken(int offset, String text) {
                post(new RequestEvent.AttemptToken(attempt, offset, text));
            }

            @Override
            public void onCompleted(int tokens, String checksum) {
                post(new RequestEvent.AttemptCompleted(attempt, tokens, checksum));
            }

            @Override
            public void onFailed(AttemptFailure failure, String detail) {
                postFailure(attempt, failure, detail);
            }
        };
    }

    private ServiceListener serviceListener(AttemptId attempt) {
        return new ServiceListener() {
            @Override
            public void onAnswer(ServiceAnswer answer) {
                context.loop().post(() -> handleAnswer(attempt, answer));
            }

            @Override
            public void onFailed(AttemptFailure failure, String detail) {
                postFailure(attempt, failure, detail);
            }
        };
    }

    private void handleAnswer(AttemptId attempt, ServiceAnswer answer) {
        RunningAttempt running = attempts.get(attempt);
        if (running != null) {
            running.answer = answer;
        }
        events.accept(new RequestEvent.AttemptAnswered(attempt, answer.status()));
    }

    private void post(RequestEvent event) {
        context.loop().post(() -> events.accept(event));
    }

    private void postFailure(AttemptId attempt, AttemptFailure failure, String detail) {
        context.loop().post(() -> handleFailure(attempt, failure, detail));
    }

    private void handleFailure(AttemptId attempt, AttemptFailure failure, String detail) {
        context.metrics().attemptFailures().labelValues(failure.name()).inc();
        events.accept(new RequestEvent.AttemptFailed(attempt, failure, detail));
    }
}
