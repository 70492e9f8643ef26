package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * Settings of a gateway process.
 *
 * @param instance the instance it runs on
 * @param failureDomain where the instance is
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether it is ready
 * @param peerAddress where other gateways connect
 * @param adminAddress where metrics and state are served
 * @param storeAddress where the platform's store answers
 * @param drainTime time between the signal to stop and the kill
 * @param orderTurn shortest time between orders of two holders to one server
 * @param orderGroups groups of servers with an order lease each
 * @param loadWindow window in which loads from the weight store are limited
 * @param retryWindow window of the retry budget
 * @param retryRatio repeats allowed for each first send
 * @param retryAllowance repeats allowed besides, over all instances
 * @param instances how many instances share the allowance until they are counted
 * @param callerConnections most connections of callers
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
        Duration orderTurn,
        int orderGroups,
        Duration loadWindow,
        Duration retryWindow,
        double retryRatio,
        double retryAllowance,
        int instances,
        int callerConnections) {}
