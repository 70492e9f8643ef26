package org.tarragonlug.decision.ownership;

import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

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
 * @param writtenIn era of the store in which the holder wrote the record
 * @param position position of the stored object; its revision is zero if no object exists yet
 */
public record LeaseRecord(
        InstanceId holder,
        String process,
        String address,
        FencingToken fence,
        long renewal,
        boolean ordering,
        boolean released,
        StoreEra writtenIn,
        StorePosition position) {
    /** Creates the record of a lease in a store without eras. */
    public LeaseRecord(
            InstanceId holder,
            String process,
            String address,
            FencingToken fence,
            long renewal,
            boolean ordering,
            boolean released,
            long revision) {
        this(
                holder,
                process,
                address,
                fence,
                renewal,
                ordering,
                released,
                StoreEra.NONE,
                StorePosition.of(revision));
    }

    /** Returns the revision of the stored object; zero if no object exists yet. */
    public long revision() {
        return position.revision();
    }

    /** Returns the record as it is stored at a position. */
    public LeaseRecord at(StorePosition stored) {
        return new LeaseRecord(
                holder, process, address, fence, renewal, ordering, released, writtenIn, stored);
    }
}
