package org.tarragonlug.http;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;

/**
 * HTTP client connections to any number of addresses, pooled by address.
 *
 * <p>No call blocks a thread: answers arrive on the threads of the given I/O executor, time limits
 * on the timer thread. Nothing is ever sent twice: the library's retries are switched off, because
 * only the caller knows whether a call may be repeated. Pools that were unused for a while are
 * closed when a later call notices, so that servers that are gone cost no memory.
 */
public final class HttpConnections implements AutoCloseable {
    private final IoExecutor ioExecutor;
    private final ScheduledExecutorService timers;
    private final HttpLimits limits;
    private final Map<InetSocketAddress, Pool> pools = new HashMap<>();
    private long lastUnusedCheckNanos = System.nanoTime();
    private boolean closed;

    /**
     * Creates an empty set of connections.
     *
     * @param ioExecutor the I/O threads, shared by the whole process; not closed here
     * @param timers runs time limits; not stopped here
     * @param limits limits of all calls
     */
    public HttpConnections(
            IoExecutor ioExecutor, ScheduledExecutorService timers, HttpLimits limits) {
        this.ioExecutor = ioExecutor;
        this.timers = timers;
        this.limits = limits;
    }

    /** Returns the limits. */
    public HttpLimits limits() {
        return limits;
    }

    /** Returns the timers, for further time limits of the edges. */
    public ScheduledExecutorService timers() {
        return timers;
    }

    /**
     * Makes a call and collects the answer.
     *
     * @return the answer whatever its status, or an {@link HttpFailure}
     */
    public CompletionStage<HttpAnswer> exchange(InetSocketAddress address, HttpCall call) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        start(address, call, new CollectingReceiver(result));
        return result;
    }

    /**
     * Makes a call that may be abandoned and collects the answer.
     *
     * @param cancellation its end closes the connection; the call then fails as if it had broken
     * @return the answer whatever its status, or an {@link HttpFailure}
     */
    public CompletionStage<HttpAnswer> exchange(
            InetSocketAddress address, HttpCall call, CompletionStage<Void> cancellation) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        HttpExchange exchange = start(address, call, new CollectingReceiver(result));
        cancellation.thenRun(
                () -> {
                    exchange.cancel();
                    result.completeExceptionally(
                            new HttpFailure(
                                    HttpFailure.Kind.CONNECTION_LOST, "abandoned as silent", null));
                });
        return result;
    }

    /** Makes a call whose answer is passed on as it arrives. */
    public HttpExchange start(InetSocketAddress address, HttpCall call, HttpReceiver receiver) {
        ClientLease lease =
                call.use() == ConnectionUse.NEW ? new SingleUse(address) : lease(address);
        HttpExchange exchange =
                new HttpExchange(call, lease, receiver, limits.maximumAnswerBytes());
        exchange.start(timers);
        return exchange;
    }

    /** Returns the number of open pools. */
    public synchronized int poolCount() {
        return pools.size();
    }

    /** Closes pools that were unused for the time in the limits. */
    public synchronized void closeUnusedPools() {
        long now = System.nanoTime();
        lastUnusedCheckNanos = now;
        Iterator<Pool> iterator = pools.values().iterator();
        while (iterator.hasNext()) {
            Pool pool = iterator.next();
            if (pool.activeCalls == 0 && now - pool.lastUsedNanos >= limits.unusedAfter().toNanos()) {
                iterator.remove();
                pool.closeIfNoActiveCalls();
            }
        }
    }

    /** Closes all idle connections at once; calls in progress end first. */
    @Override
    public synchronized void close() {
        closed = true;
        pools.values().removeIf(Pool::closeIfNoActiveCalls);
        pools.clear();
    }

    private synchronized Pool lease(InetSocketAddress address) {
        if (System.nanoTime() - lastUnusedCheckNanos >= limits.unusedAfter().toNanos()) {
            closeUnusedPools();
        }
        Pool pool = pools.get(address);
        if (pool == null) {
            pool = new Pool(address);
            if (!closed) {
                pools.put(address, pool);
            }
        }
        pool.activeCalls++;
        return pool;
    }

    private StreamingHttpClient newClient(InetSocketAddress address) {
        // Health checks by the load balancer would keep refusing a server for seconds after it came
        // back; the failure detection of this system decides instead.
        LoadBalancerFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>
                balancer =
                        RoundRobinLoadBalancers
                                .<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>
                                        builder("tarragonlug")
                                .healthCheckFailedConnectionsThreshold(-1)
                                .build();
        int connectMillis = (int) limits.connectTimeout().toMillis();
        return HttpClients.forResolvedAddress(address)
                .ioExecutor(ioExecutor)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, connectMillis)
                .loadBalancerFactory(DefaultHttpLoadBalancerFactory.Builder.from(balancer).build())
                .appendClientFilter(
                        new RetryingHttpRequesterFilter.Builder()
                                .retryRetryableExceptions(
                                        (request, cause) ->
                                                RetryingHttpRequesterFilter.BackOffPolicy
                                                        .ofNoRetries())
                                .build())
                .buildStreaming();
    }

    /** The pooled connections to one address; guarded by the enclosing object. */
    private final class Pool implements ClientLease {
        private final InetSocketAddress address;
        private final StreamingHttpClient client;
        private int activeCalls;
        private long lastUsedNanos = System.nanoTime();

        Pool(InetSocketAddress address) {
            this.address = address;
            this.client = newClient(address);
        }

        @Override
        public StreamingHttpClient client() {
            return client;
        }

        @Override
        public void release() {
            synchronized (HttpConnections.this) {
                activeCalls--;
                lastUsedNanos = System.nanoTime();
                if (pools.get(address) != this) {
                    closeIfNoActiveCalls();
                }
            }
        }

        @Override
        public void retire() {
            synchronized (HttpConnections.this) {
                pools.remove(address, this);
                closeIfNoActiveCalls();
            }
        }

        private boolean closeIfNoActiveCalls() {
            if (activeCalls == 0) {
                toSource(client.closeAsync()).subscribe(IgnoredCompletion.INSTANCE);
            }
            return activeCalls == 0;
        }
    }

    /** A client for one call on a new connection. */
    private final class SingleUse implements ClientLease {
        private final StreamingHttpClient client;

        SingleUse(InetSocketAddress address) {
            this.client = newClient(address);
        }

        @Override
        public StreamingHttpClient client() {
            return client;
        }

        @Override
        public void release() {
            toSource(client.closeAsync()).subscribe(IgnoredCompletion.INSTANCE);
        }

        @Override
        public void retire() {
            // Nothing is pooled.
        }
    }
}
