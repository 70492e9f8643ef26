package org.tarragonlug.peer;

import org.tarragonlug.error.TarragonlugException;

/** Receives what arrives from peers, on a thread of the transport. */
public interface PeerListener {
    /** A message arrived. */
    void onMessage(PeerIdentity from, PeerMessage message);

    /** A connection was closed because of what arrived on it; the code says why. */
    void onConnectionRejected(String remoteAddress, TarragonlugException reason);
}
