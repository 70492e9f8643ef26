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
 * @param deployment name of the deployment; connections of peers of another deployment are refused
 * @param instance this instance's id in the platform
 * @param failureDomain failure domain in which the instance runs
 * @param callerAddress listen address for callers
 * @param adminAddress listen address for metrics, health, status and state
 * @param peerAddress listen address for other entry instances, which connect to it as it is
 * @param objectApi address of the object API
 * @param instanceList address of the instance list
 * @param weightStore address of the weight store
 * @param peers initial peer addresses; further peers come from the instance list
 * @param fencing whether the engines of a server group refuse old fencing tokens, by server group
 * @param limits limits on callers' requests and connections
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
     * Limits on callers' requests and connections.
     *
     * @param bodyBytes maximum size of a request body on any route, in bytes
     * @param headerBytes maximum size of a header field, in bytes
     * @param requestTime maximum time in which a caller must send a complete request
     * @param connections maximum number of open connections
     * @param drainTime maximum time that a graceful shutdown waits for requests in progress
     */
    public record Limits(
            long bodyBytes,
            int headerBytes,
            Duration requestTime,
            int connections,
            Duration drainTime) {
        /** The limits for fields that are missing in the settings. */
        public static final Limits DEFAULT =
                new Limits(1 << 20, 16 << 10, Duration.ofSeconds(10), 4096, Duration.ofSeconds(60));
    }
}
