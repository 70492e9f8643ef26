package org.tarragonlug.peer;

/** A decoded frame. */
sealed interface PeerFrame {
    /**
     * The first frame in each direction of a connection.
     *
     * @param magic always {@link #MAGIC}
     * @param deployment name of the deployment of the sender
     * @param sender identity of the sender
     * @param formatVersion format version of the sender
     */
    record Hello(long magic, String deployment, PeerIdentity sender, int formatVersion)
            implements PeerFrame {
        /** The bytes "TRGN", followed by four bytes that no text protocol sends. */
        static final long MAGIC = 0x5452474E_1F2E3D4CL;
    }

    /** A request for a {@link Pong}. */
    record Ping() implements PeerFrame {}

    /** The answer to a {@link Ping}. */
    record Pong() implements PeerFrame {}

    /** A frame with a message for the listener. */
    record Content(PeerMessage message) implements PeerFrame {}

    /** A frame of unknown kind, which a newer release may send. It is counted and skipped. */
    record Unknown(String kind) implements PeerFrame {}
}
