package org.tarragonlug.instancelist;

import java.net.InetSocketAddress;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;

/**
 * An entry of the instance list.
 *
 * @param id the platform's id of the instance
 * @param kind kind of program that runs on the instance
 * @param group server group of the instance; {@code entry} for entry instances
 * @param address HTTP address of a backend server, or peer address of an entry instance
 * @param failureDomain failure domain in which the instance runs
 * @param leaving whether the platform is about to remove the instance
 */
public record ListedInstance(
        String id,
        InstanceKind kind,
        ServerGroup group,
        InetSocketAddress address,
        FailureDomain failureDomain,
        boolean leaving) {}
