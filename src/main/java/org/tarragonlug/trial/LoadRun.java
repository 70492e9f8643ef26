package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.tarragonlug.decision.Priority;
import org.tarragonlug.decision.request.AttemptFailure;
import org.tarragonlug.engine.EngineClient;
import org.tarragonlug.engine.GenerationListener;
import org.tarragonlug.engine.GenerationRequest;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpFailure;
import org.tarragonlug.http.HttpReceiver;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.runtime.Json;

/**
 * A closed-loop load. A fixed number of requests is in progress at any time, and the end of a
 * request starts the next one.
 *
 * <p>For requests through an instance, the time to the first token is measured at the first bytes
 * of the answer; for direct requests to an engine, it is measured at the first token. A closed loop
 * does not show queueing under a fixed arrival rate; the measurement of requests in virtual time
 * does.
 */
public final class LoadRun {
    private static final long MAXIMUM_MICROS = 600_000_000L;
    private static final String PATH = "/v1/chat/completions";

    private final LoadSettings settings;
    private final HttpConnections connections;
    private final EngineClient engines;
    private final Histogram firstToken = new Histogram(MAXIMUM_MICROS, 3);
    private final Histogram total = new Histogram(MAXIMUM_MICROS, 3);
    private final Map<String, Integer> failed = new TreeMap<>();
    private final AtomicLong requestCount = new AtomicLong();
    private long measureFromNanos;
    private long endNanos;
    private int inProgress;

    /**
     * Creates a load without sending anything.
     *
     * @param settings the requests to send
     * @param connections carries the requests to instances
     * @param engines sends the direct requests to an engine
     */
    public LoadRun(LoadSettings settings, HttpConnections connections, EngineClient engines) {
        this.settings = settings;
        this.connections = connections;
        this.engines = engines;
    }

    /** Sends the load to the entry instances and blocks until the run has ended. */
    public LoadResult throughInstances() throws InterruptedException {
        return run(this::sendToInstance);
    }

    /**
     * Sends the same load directly to an engine and blocks until the run has ended.
     *
     * @param engine address of an engine that has the model loaded
     */
    public LoadResult atEngine(InetSocketAddress engine) throws InterruptedException {
        return run(sample -> sendToEngine(engine, sample));
    }

    private LoadResult run(Sender sender) throws InterruptedException {
        long now = System.nanoTime();
        measureFromNanos = now + settings.warmUp().toNanos();
        endNanos = measureFromNanos + settings.length().toNanos();
        for (int index = 0; index < settings.concurrency(); index++) {
            start(sender);
        }
        synchronized (this) {
            long limit = endNanos + settings.timeout().toNanos() + 2_000_000_000L;
            while (inProgress > 0 && System.nanoTime() < limit) {
                wait(100);
            }
            return new LoadResult(
                    total.getTotalCount(),
                    new TreeMap<>(failed),
                    total.getTotalCount() * 1e9 / settings.length().toNanos(),
                    firstToken.copy(),
                    total.copy());
        }
    }

    private void start(Sender sender) {
        synchronized (this) {
            inProgress++;
        }
        sender.send(new Sample(sender));
    }

    private ObjectNode body() {
        ObjectNode body = Json.object();
        body.put("model", settings.model());
        body.put("max_tokens", settings.tokens()).put("stream", true);
        body.putArray("messages").addObject().put("role", "user").put("content", "load");
        return body;
    }

    private void sendToInstance(Sample sample) {
        int index = (int) (requestCount.incrementAndGet() % settings.targets().size());
        Map<String, String> headers =
                Map.of(
                        "content-type",
                        "application/json",
                        "x-request-timeout-ms",
                        Long.toString(settings.timeout().toMillis()));
        HttpCall call =
                new HttpCall(
                        "POST",
                        PATH,
                        headers,
                        Json.bytes(body()),
                        settings.timeout().plusSeconds(1),
                        ConnectionUse.POOLED);
        connections.start(settings.targets().get(index), call, sample);
    }

    private void sendToEngine(InetSocketAddress engine, Sample sample) {
        GenerationRequest request =
                new GenerationRequest(
                        new AttemptId(
                                "load-" + System.nanoTime() + "-" + requestCount.incrementAndGet()),
                        ArtifactId.parse(settings.model()),
                        PATH,
                        body(),
                        Priority.NORMAL,
                        0,
                        settings.timeout());
        engines.generate(engine, request, sample);
    }

    /** Sends one request. */
    private interface Sender {
        void send(Sample sample);
    }

    /** Measures the times of one request. */
    private final class Sample implements HttpReceiver, GenerationListener {
        private final Sender sender;
        private final long startNanos = System.nanoTime();
        private long firstNanos;
        private int status;

        Sample(Sender sender) {
            this.sender = sender;
        }

        @Override
        public void onHead(int answerStatus, Map<String, String> headers) {
            status = answerStatus;
        }

        @Override
        public void onData(byte[] part) {
            recordFirstData();
        }

        @Override
        public void onToken(int offset, String text) {
            recordFirstData();
        }

        private void recordFirstData() {
            if (firstNanos == 0) {
                firstNanos = System.nanoTime();
            }
        }

        @Override
        public void onCompleted() {
            onEnd(status == 200 ? "" : "status " + status);
        }

        @Override
        public void onCompleted(int tokens, String checksum) {
            onEnd("");
        }

        @Override
        public void onFailed(HttpFailure failure) {
            onEnd(failure.kind().name());
        }

        @Override
        public void onFailed(AttemptFailure failure, String detail) {
            onEnd(failure.name());
        }

        private void onEnd(String failureKind) {
            long now = System.nanoTime();
            boolean startsAnother = now < endNanos;
            if (startsAnother) {
                // Starts the next request before this one is counted as ended. Otherwise the number
                // of requests in progress could be zero for a moment, which ends the run.
                start(sender);
            }
            synchronized (LoadRun.this) {
                inProgress--;
                if (!failureKind.isEmpty()) {
                    failed.merge(failureKind, 1, Integer::sum);
                } else if (startNanos >= measureFromNanos && now <= endNanos) {
                    firstToken.recordValue(micros(firstNanos - startNanos));
                    total.recordValue(micros(now - startNanos));
                }
                LoadRun.this.notifyAll();
            }
        }

        private long micros(long nanos) {
            return Math.min(MAXIMUM_MICROS, Math.max(0, Duration.ofNanos(nanos).toNanos() / 1000));
        }
    }
}
