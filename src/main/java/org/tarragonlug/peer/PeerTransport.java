package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tarragonlug.id.InstanceId;

/**
 * Sends messages to other processes of this system. A message may get lost or arrive late, but
 * arrives at most once and whole. Methods may be called from any thread and never block.
 */
public interface PeerTransport extends AutoCloseable {
    /** Sends to an instance whose address is known; false if no address is known. */
    boolean send(InstanceId to, PeerMessage message);

    /** Sends to an address, for peers that were never heard of. */
    void send(InetSocketAddress to, PeerMessage message);

    /** Sets the address of an instance, from settings or the instance list. */
    void setAddress(InstanceId instance, InetSocketAddress address);

    /** Returns the address of an instance, if known. */
    Optional<InetSocketAddress> address(InstanceId instance);

    /** Returns what was counted so far. */
    PeerTransportCounts counts();

    @Override
    void close();
}
