package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.platform.PlatformObjectApi;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.TimerService;

/**
 * The platform's store as the parts of an instance use it: directly or through a peer, and with
 * answers of the present era only.
 *
 * <p>The era is checked twice. The inner check sees what the store itself answers, also to calls
 * that are made for peers; the outer one sees what peers have relayed.
 */
final class GatewayStore {
    private final StoreEraMonitor eras;
    private final RelayingObjectApi relay;
    private final ObjectApi api;

    /**
     * Creates the access to a store without calling it.
     *
     * @param address address of the store
     * @param peers relays calls while the store cannot be reached
     * @param callNumbers numbers for relayed calls
     */
    GatewayStore(
            HttpConnections connections,
            InetSocketAddress address,
            RelayingObjectApi.PeerChannel peers,
            Executor loop,
            TimerService timers,
            EventLog log,
            CallNumbers callNumbers) {
        this.eras = new StoreEraMonitor(timers, log);
        ObjectApi direct =
                new EraCheckedObjectApi(
                        new PlatformObjectApi(connections, address, eras::onUnreadable),
                        eras,
                        timers);
        this.relay = new RelayingObjectApi(direct, peers, loop, timers, log, eras, callNumbers);
        this.api = new EraCheckedObjectApi(relay, eras, timers);
        eras.addListener(relay::onStoreEra);
    }

    /** Returns the store for the calls of this instance. */
    ObjectApi api() {
        return api;
    }

    /** Returns the part that makes calls for peers and receives their answers. */
    RelayingObjectApi relay() {
        return relay;
    }

    /** Returns the present era of the store. */
    StoreEra era() {
        return eras.current();
    }

    /** Adds a part that is told of each era before the first answer of it is used. */
    void addListener(StoreEraMonitor.Listener listener) {
        eras.addListener(listener);
    }
}
