package org.tarragonlug.peer;

/**
 * The counters of a transport since its start.
 *
 * @param sent messages written to a connection
 * @param received messages passed to the listener
 * @param dropped messages dropped because a buffer was full, the message was too large, no address
 *     was known, no connection could be opened or the transport was closed
 * @param unknownKinds messages skipped because this release does not know their kind
 * @param rejected connections closed because of a malformed frame, or a first frame without the
 *     magic number or of another deployment
 * @param silent connections replaced because nothing arrived on them
 * @param bytesSent bytes of written frames, including their length prefixes
 * @param bytesReceived bytes of received frames, including their length prefixes
 */
public record PeerTransportCounts(
        long sent,
        long received,
        long dropped,
        long unknownKinds,
        long rejected,
        long silent,
        long bytesSent,
        long bytesReceived) {}
