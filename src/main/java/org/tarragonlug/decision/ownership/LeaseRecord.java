package org.tarragonlug.decision.ownership;

import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;

/**
 * The stored lease.
 *
 * @param holder instance that holds the lease
 * @param process id of the holder's process; distinguishes two starts of one instance
 * @param address address at which peers reach the holder, {@code host:port}
 * @param fence fencing token, which grows with each holder
 * @param renewal number that grows with each renewal
 * @param ordering whether the holder may have given orders; false while it waits for its turn
 * @param released whether the holder released the lease and sends no more orders
 * @param revision revision of the stored object; zero if no object exists yet
 */
public record LeaseRecord(
        InstanceId holder,
        String process,
        String address,
        FencingToken fence,
        long renewal,
        boolean ordering,
        boolean released,
        long revision) {}
