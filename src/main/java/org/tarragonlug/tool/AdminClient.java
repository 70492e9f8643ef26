package org.tarragonlug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.HttpLimits;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.runtime.Json;

/** HTTP client that reads JSON documents from the admin address of a process. */
final class AdminClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int MAXIMUM_ANSWER_BYTES = 64 << 20;
    private static final HttpLimits LIMITS =
            new HttpLimits(
                    Duration.ofSeconds(3),
                    TIMEOUT,
                    MAXIMUM_ANSWER_BYTES,
                    MAXIMUM_ANSWER_BYTES,
                    Duration.ofMinutes(1));

    private final IoExecutor ioExecutor = IoThreads.create(1);
    private final ScheduledExecutorService timers =
            Executors.newSingleThreadScheduledExecutor(AdminClient::newDaemonThread);
    private final HttpConnections connections = new HttpConnections(ioExecutor, timers, LIMITS);

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "admin-client-timer");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns this client's connections, for other HTTP clients that a command needs. */
    HttpConnections connections() {
        return connections;
    }

    /**
     * Fetches a JSON document and waits for the answer.
     *
     * @param address the admin address
     * @param path the document's path, such as {@code /state}
     * @throws TarragonlugException {@code PEER_UNREACHABLE} if the process does not answer within
     *     10 s, answers with another status than 200 or sends invalid JSON
     */
    JsonNode get(InetSocketAddress address, String path) throws TarragonlugException {
        try {
            HttpAnswer answer =
                    connections
                            .exchange(address, HttpCall.get(path, TIMEOUT, ConnectionUse.NEW))
                            .toCompletableFuture()
                            .get();
            if (answer.status() != 200) {
                throw unreachable(address, "answered with HTTP status " + answer.status(), null);
            }
            return Json.read(answer.body());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw unreachable(address, "interrupted", interrupted);
        } catch (ExecutionException failure) {
            throw unreachable(address, failure.getCause().getMessage(), failure);
        } catch (IOException malformed) {
            throw unreachable(address, "the answer is not valid JSON", malformed);
        }
    }

    private static TarragonlugException unreachable(
            InetSocketAddress address, String detail, Throwable cause) {
        String text = address.getAddress().getHostAddress() + ":" + address.getPort();
        return new TarragonlugException(
                ErrorCode.PEER_UNREACHABLE, "address=" + text + " " + detail, cause);
    }

    @Override
    public void close() {
        connections.close();
        timers.shutdownNow();
        ioExecutor.closeAsync().subscribe();
    }
}
