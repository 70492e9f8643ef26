package org.tarragonlug.peer;

/**
 * What a transport counted since its start.
 *
 * @param sent messages written to a connection
 * @param received messages handed to the listener
 * @param dropped messages dropped because a buffer was full or no connection came up
 * @param unknownKinds messages skipped because this release does not know their kind
 * @param rejected connections closed because of a malformed or foreign frame
 * @param silent connections replaced because nothing arrived on them
 * @param bytesSent bytes of frames written, lengths included
 * @param bytesReceived bytes of frames read, lengths included
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
