package org.tarragonlug.instancelist;

import java.net.InetSocketAddress;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;

/**
 * An entry of the instance list.
 *
 * @param id the platform's id of the instance
 * @param kind what runs on it
 * @param group the server group; {@code entry} for entry instances
 * @param address where it answers: the HTTP address of a backend server, the peer address of an
 *     entry instance
 * @param failureDomain where it stands
 * @param leaving whether the platform is about to take it away
 */
public record ListedInstance(
        String id,
        InstanceKind kind,
        ServerGroup group,
        InetSocketAddress address,
        FailureDomain failureDomain,
        boolean leaving) {}
