package org.tarragonlug.decision.watching;

import org.tarragonlug.id.InstanceId;

/**
 * An instance that watches the store and passes the changes on.
 *
 * @param instance the instance
 * @param address address for connections from other instances, {@code host:port}
 */
public record WatchSource(InstanceId instance, String address) {}
