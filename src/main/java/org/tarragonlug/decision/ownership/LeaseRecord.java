package org.tarragonlug.decision.ownership;

import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;

/**
 * The lease as it is stored.
 *
 * @param holder who holds it
 * @param process the holder's process; tells two starts of one instance apart
 * @param address where the holder's peers reach it, {@code host:port}
 * @param fence grows with each holder
 * @param renewal grows with each renewal
 * @param ordering whether the holder has given orders; false while it waits for its turn
 * @param released whether the holder gave it up and sends no more orders
 * @param revision revision of the stored object; zero if there is none
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
