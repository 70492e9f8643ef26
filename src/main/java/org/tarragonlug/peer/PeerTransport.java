package org.tarragonlug.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tarragonlug.id.InstanceId;

/**
 * Sends messages to other processes of this system. A message may be lost or delayed, but it is
 * never delivered twice or in part. The methods may be called from any thread and do not block.
 */
public interface PeerTransport extends AutoCloseable {
    /**
     * Sends a message to an instance.
     *
     * @return false if the message was dropped, because the transport has neither an address of the
     *     instance nor an open connection from it
     */
    boolean send(InstanceId to, PeerMessage message);

    /** Sends a message to an address, for peers whose instance is not known yet. */
    void send(InetSocketAddress to, PeerMessage message);

    /** Sets the address of an instance, as found in the settings or the instance list. */
    void setAddress(InstanceId instance, InetSocketAddress address);

    /** Returns the address of an instance; empty if no address has been set or received. */
    Optional<InetSocketAddress> address(InstanceId instance);

    /** Returns the counters since the start of the transport. */
    PeerTransportCounts counts();

    @Override
    void close();
}
