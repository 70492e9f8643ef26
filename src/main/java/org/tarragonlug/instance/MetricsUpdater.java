package org.tarragonlug.instance;

import org.tarragonlug.peer.PeerTransportCounts;
import org.tarragonlug.runtime.Metrics;

/** Brings the metrics up to date whose values are kept elsewhere. */
final class MetricsUpdater {
    private final Metrics metrics;
    private long bytesSent;
    private long bytesReceived;

    MetricsUpdater(Metrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Updates them.
     *
     * @param queued tasks waiting in the event loop
     * @param inProgress requests waiting or being answered
     * @param ready ready replicas known here
     * @param counts what the peer transport has counted since its start
     */
    void update(int queued, int inProgress, long ready, PeerTransportCounts counts) {
        metrics.eventLoopQueue().set(queued);
        metrics.waitingRequests().set(inProgress);
        metrics.readyReplicas().set(ready);
        if (counts.bytesSent() < bytesSent || counts.bytesReceived() < bytesReceived) {
            // A restarted transport counts from zero again.
            bytesSent = 0;
            bytesReceived = 0;
        }
        metrics.peerBytes().labelValues("sent").inc(counts.bytesSent() - bytesSent);
        metrics.peerBytes().labelValues("received").inc(counts.bytesReceived() - bytesReceived);
        bytesSent = counts.bytesSent();
        bytesReceived = counts.bytesReceived();
    }
}
