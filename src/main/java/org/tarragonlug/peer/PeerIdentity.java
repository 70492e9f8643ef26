package org.tarragonlug.peer;

import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * The identity of a peer, as stated in the first frame of its connection.
 *
 * @param instance instance of the peer
 * @param process process of the peer
 * @param address address on which the peer listens, as {@code host:port}; may be empty
 */
public record PeerIdentity(InstanceId instance, ProcessId process, String address) {}
