package org.tarragonlug.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.capacity.FencingKind;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;

/**
 * The settings of one entry instance.
 *
 * @param deployment name of the deployment; peers of another one are refused
 * @param instance this instance's id in the platform
 * @param failureDomain where it stands
 * @param callerAddress where callers are served
 * @param adminAddress where metrics, health, status and state are served
 * @param peerAddress where other entry instances connect
 * @param objectApi address of the object API
 * @param instanceList address of the instance list
 * @param weightStore address of the weight store
 * @param peers peer addresses known beforehand; others come from the instance list
 * @param fencing by server group, whether its engines refuse old fencing numbers
 * @param limits limits towards callers
 */
public record Settings(
        String deployment,
        InstanceId instance,
        FailureDomain failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress objectApi,
        InetSocketAddress instanceList,
        InetSocketAddress weightStore,
        List<InetSocketAddress> peers,
        Map<ServerGroup, FencingKind> fencing,
        Limits limits) {
    public Settings {
        peers = List.copyOf(peers);
        fencing = Map.copyOf(fencing);
    }

    /**
     * Limits towards callers.
     *
     * @param bodyBytes largest body of any route, bytes
     * @param headerBytes longest header field, bytes
     * @param requestTime longest time a caller may take to send a request
     * @param connections most open connections
     * @param drainTime longest time a graceful shutdown waits for requests in progress
     */
    public record Limits(
            long bodyBytes,
            int headerBytes,
            Duration requestTime,
            int connections,
            Duration drainTime) {
        /** The limits used where the settings state none. */
        public static final Limits DEFAULT =
                new Limits(1 << 20, 16 << 10, Duration.ofSeconds(10), 4096, Duration.ofSeconds(60));
    }
}
