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
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * HTTP client connections to any number of addresses, pooled by address and group of calls.
 *
 * <p>No call blocks a thread. Answers arrive on the threads of the given I/O executor, and timeouts
 * run on the timer thread. No request is sent twice: the retries of the library are switched off,
 * because only the code that makes a call knows whether it may be repeated. If a named call is made
 * again, it is sent on another connection than before. A later call closes the pools that have not
 * been used for {@link HttpLimits#unusedAfter}, so that servers that no longer exist occupy no
 * memory.
 */
public final class HttpConnections implements AutoCloseable {
    private record PoolKey(InetSocketAddress address, ConnectionGroup group) {}

    private final IoExecutor ioExecutor;
    private final ScheduledExecutorService timers;
    private final HttpLimits limits;
    private final Consumer<LateAnswer> lateAnswers;
    private final HeldBytes heldBytes;
    private final Map<PoolKey, Pool> pools = new HashMap<>();
    private long lastUnusedCheckNanos = System.nanoTime();
    private boolean closed;

    /**
     * Creates the pools without opening connections.
     *
     * @param ioExecutor I/O threads that the entire process shares; not closed here
     * @param timers executor of timeouts; not stopped here
     * @param limits limits for all calls
     */
    public HttpConnections(
            IoExecutor ioExecutor, ScheduledExecutorService timers, HttpLimits limits) {
        this(ioExecutor, timers, limits, late -> {});
    }

    /**
     * Creates the pools without opening connections.
     *
     * @param ioExecutor I/O threads that the entire process shares; not closed here
     * @param timers executor of timeouts; not stopped here
     * @param limits limits for all calls
     * @param lateAnswers receives, on I/O threads, the answers to named calls that come while no
     *     call is in progress on their connection, which is closed then
     */
    public HttpConnections(
            IoExecutor ioExecutor,
            ScheduledExecutorService timers,
            HttpLimits limits,
            Consumer<LateAnswer> lateAnswers) {
        this.ioExecutor = ioExecutor;
        this.timers = timers;
        this.limits = limits;
        this.lateAnswers = lateAnswers;
        this.heldBytes = new HeldBytes(limits.maximumHeldBytes());
    }

    /** Returns the bytes of incomplete answers that all calls keep in memory now. */
    public long heldBytes() {
        return heldBytes.total();
    }

    /** Returns the limits that apply to all calls. */
    public HttpLimits limits() {
        return limits;
    }

    /** Returns the executor of timeouts, on which connectors may schedule timeouts of their own. */
    public ScheduledExecutorService timers() {
        return timers;
    }

    /**
     * Makes a call and collects the complete answer.
     *
     * @return the answer with any status; fails with an {@link HttpFailure} if there is none
     */
    public CompletionStage<HttpAnswer> exchange(InetSocketAddress address, HttpCall call) {
        return exchange(address, call, () -> true);
    }

    /**
     * Makes a call and collects the complete answer.
     *
     * @param maySend asked once there is a connection, before anything is written; if false, the
     *     call fails with {@code WITHDRAWN}
     * @return the answer with any status; fails with an {@link HttpFailure} if there is none
     */
    public CompletionStage<HttpAnswer> exchange(
            InetSocketAddress address, HttpCall call, BooleanSupplier maySend) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        start(address, call, new CollectingReceiver(result, maySend));
        return result;
    }

    /**
     * Makes a call that can be cancelled and collects the complete answer.
     *
     * @param cancellation completion of this stage closes the connection; the call then fails with
     *     {@code CONNECTION_LOST}
     * @return the answer with any status; fails with an {@link HttpFailure} if there is none
     */
    public CompletionStage<HttpAnswer> exchange(
            InetSocketAddress address, HttpCall call, CompletionStage<Void> cancellation) {
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        HttpExchange exchange = start(address, call, new CollectingReceiver(result, () -> true));
        cancellation.thenRun(
                () -> {
                    exchange.cancel();
                    result.completeExceptionally(
                            new HttpFailure(
                                    HttpFailure.Kind.CONNECTION_LOST,
                                    "the call was cancelled because the server is silent",
                                    null));
                });
        return result;
    }

    /** Makes a call and passes its answer to the receiver as it arrives. */
    public HttpExchange start(InetSocketAddress address, HttpCall call, HttpReceiver receiver) {
        ClientLease lease =
                call.use() == ConnectionUse.NEW
                        ? new SingleUse(address)
                        : lease(new PoolKey(address, call.group()));
        HttpExchange exchange =
                new HttpExchange(
                        call,
                        lease,
                        () -> new SingleUse(address),
                        receiver,
                        limits.maximumAnswerBytes(),
                        heldBytes,
                        lateAnswers);
        exchange.start(timers);
        return exchange;
    }

    /** Returns the number of open pools. */
    public synchronized int poolCount() {
        return pools.size();
    }

    /** Closes the pools that have not been used for {@link HttpLimits#unusedAfter}. */
    public synchronized void closeUnusedPools() {
        long now = System.nanoTime();
        lastUnusedCheckNanos = now;
        Iterator<Pool> iterator = pools.values().iterator();
        while (iterator.hasNext()) {
            Pool pool = iterator.next();
            if (pool.activeCalls == 0
                    && now - pool.lastUsedNanos >= limits.unusedAfter().toNanos()) {
                iterator.remove();
                pool.closeIfNoActiveCalls();
            }
        }
    }

    /** Closes pools without calls at once, and each other pool when its last call ends. */
    @Override
    public synchronized void close() {
        closed = true;
        pools.values().removeIf(Pool::closeIfNoActiveCalls);
        pools.clear();
    }

    private synchronized Pool lease(PoolKey key) {
        if (System.nanoTime() - lastUnusedCheckNanos >= limits.unusedAfter().toNanos()) {
            closeUnusedPools();
        }
        Pool pool = pools.get(key);
        if (pool == null) {
            pool = new Pool(key);
            if (!closed) {
                pools.put(key, pool);
            }
        }
        pool.activeCalls++;
        return pool;
    }

    private StreamingHttpClient newClient(InetSocketAddress address) {
        // Health checks by the load balancer are off: they would refuse calls to a server for
        // seconds after it has recovered. The failure detection of this system is used instead.
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

    /** Pooled connections to one address; guarded by the lock of the enclosing object. */
    private final class Pool implements ClientLease {
        private final PoolKey key;
        private final StreamingHttpClient client;
        private final long createdNanos = System.nanoTime();
        private int activeCalls;
        private long lastUsedNanos = System.nanoTime();

        Pool(PoolKey key) {
            this.key = key;
            this.client = newClient(key.address());
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
                if (pools.get(key) != this) {
                    closeIfNoActiveCalls();
                }
            }
        }

        @Override
        public void retire() {
            synchronized (HttpConnections.this) {
                if (pools.get(key) == this) {
                    retireAddress();
                }
                closeIfNoActiveCalls();
            }
        }

        /** Retires all pools of the address: silent connections mostly come together. */
        private void retireAddress() {
            List<Pool> sameAddress =
                    pools.values().stream()
                            .filter(pool -> pool.key.address().equals(key.address()))
                            .toList();
            sameAddress.forEach(Pool::remove);
        }

        private void remove() {
            pools.remove(key);
            closeIfNoActiveCalls();
        }

        @Override
        public void retireAsSilent() {
            if (System.nanoTime() - createdNanos >= MIN_AGE.toNanos()) {
                retire();
            }
        }

        private boolean closeIfNoActiveCalls() {
            if (activeCalls == 0) {
                toSource(client.closeAsync()).subscribe(IgnoredCompletion.INSTANCE);
            }
            return activeCalls == 0;
        }
    }

    /** A client that is used for one call on a new connection and is closed afterwards. */
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
            // A single-use client is never in a pool.
        }

        @Override
        public void retireAsSilent() {
            // A single-use client is never in a pool.
        }
    }
}
