package org.tarragonlug.instance;

import org.tarragonlug.peer.PeerTransportCounts;
import org.tarragonlug.runtime.Metrics;

/** Copies values that other parts maintain to the metrics. */
final class MetricsUpdater {
    private final Metrics metrics;
    private long bytesSent;
    private long bytesReceived;

    MetricsUpdater(Metrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Updates the metrics.
     *
     * @param queued number of tasks waiting in the event loop
     * @param inProgress number of requests that wait or are being answered
     * @param ready number of ready replicas that the planners of this instance have reported
     * @param counts counts of the peer transport since its start
     */
    void update(int queued, int inProgress, long ready, PeerTransportCounts counts) {
        metrics.eventLoopQueue().set(queued);
        metrics.waitingRequests().set(inProgress);
        metrics.readyReplicas().set(ready);
        if (counts.bytesSent() < bytesSent || counts.bytesReceived() < bytesReceived) {
            // The transport was restarted and counts from zero again.
            bytesSent = 0;
            bytesReceived = 0;
        }
        metrics.peerBytes().labelValues("sent").inc(counts.bytesSent() - bytesSent);
        metrics.peerBytes().labelValues("received").inc(counts.bytesReceived() - bytesReceived);
        bytesSent = counts.bytesSent();
        bytesReceived = counts.bytesReceived();
    }
}
