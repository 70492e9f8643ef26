package org.tarragonlug.peer;

import org.tarragonlug.error.TarragonlugException;

/** Receives messages from peers, on a thread of the transport. */
public interface PeerListener {
    /** Called when a message has arrived. */
    void onMessage(PeerIdentity from, PeerMessage message);

    /**
     * Called when a connection is closed because of an invalid frame.
     *
     * @param remoteAddress address of the peer; {@code ?} if the connection was never active
     * @param reason error with code {@code PEER_FRAME_INVALID}; its message states the cause
     */
    void onConnectionRejected(String remoteAddress, TarragonlugException reason);
}
