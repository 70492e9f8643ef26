package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.tarragonlug.decision.quota.QuotaTolerance;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * Settings of a gateway process.
 *
 * @param instance the instance on which the gateway runs
 * @param failureDomain the failure domain of the instance
 * @param callerAddress address on which the gateway accepts requests from callers
 * @param readinessAddress address on which the platform checks readiness
 * @param peerAddress address on which the gateway accepts connections from other gateways
 * @param adminAddress address on which metrics and state are served
 * @param storeAddress address of the platform's store
 * @param drainTime time between the signal to stop and the forced end of the process
 * @param firstStart whether the whole system starts for the first time
 * @param orderTurn minimum time between orders from two different holders to one server
 * @param orderGroups number of server groups; each group has its own order lease
 * @param loadWindow length of the window in which loads from the weight store are limited
 * @param retryWindow length of the window of the retry budget
 * @param retryRatio retries allowed for each first attempt
 * @param retryAllowance retries allowed in addition, in total over all instances
 * @param instances number of instances assumed to share the allowance until they are counted
 * @param callerConnections maximum number of connections from callers
 * @param capacity processor time that the process may use, in cores
 * @param watchLimits what the platform allows for changes in the store to take effect
 * @param quotaTolerance what the platform tolerates beyond the quotas of accounts; empty if it does
 *     not say
 */
public record GatewaySettings(
        InstanceId instance,
        FailureDomain failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress storeAddress,
        Duration drainTime,
        boolean firstStart,
        Duration orderTurn,
        int orderGroups,
        Duration loadWindow,
        Duration retryWindow,
        double retryRatio,
        double retryAllowance,
        int instances,
        int callerConnections,
        double capacity,
        WatchLimits watchLimits,
        Optional<QuotaTolerance> quotaTolerance) {}
