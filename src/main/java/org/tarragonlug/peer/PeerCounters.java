package org.tarragonlug.peer;

import java.util.concurrent.atomic.LongAdder;

/** The counters of a peer transport. */
final class PeerCounters {
    final LongAdder sent = new LongAdder();
    final LongAdder received = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder unknownKinds = new LongAdder();
    final LongAdder rejected = new LongAdder();
    final LongAdder silent = new LongAdder();
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();

    PeerTransportCounts snapshot() {
        return new PeerTransportCounts(
                sent.sum(),
                received.sum(),
                dropped.sum(),
                unknownKinds.sum(),
                rejected.sum(),
                silent.sum(),
                bytesSent.sum(),
                bytesReceived.sum());
    }
}
