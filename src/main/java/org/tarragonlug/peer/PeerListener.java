package org.tarragonlug.peer;

import org.tarragonlug.error.TarragonlugException;

/** Receives what arrives from peers, on a thread of the transport. */
public interface PeerListener {
    /** A message arrived. */
    void messageReceived(PeerIdentity from, PeerMessage message);

    /** A connection was closed because of what arrived on it; the code says why. */
    void connectionRejected(String remoteAddress, TarragonlugException reason);
}
