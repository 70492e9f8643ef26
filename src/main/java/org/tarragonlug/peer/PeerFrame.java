package org.tarragonlug.peer;

/** A decoded frame. */
sealed interface PeerFrame {
    /**
     * The first frame of each direction of a connection.
     *
     * @param magic {@link #MAGIC}
     * @param deployment name of the deployment
     * @param sender who sends it
     * @param formatVersion of the sender
     */
    record Hello(long magic, String deployment, PeerIdentity sender, int formatVersion)
            implements PeerFrame {
        /** The bytes "TRGN" and a number that no text protocol sends. */
        static final long MAGIC = 0x5452474E_1F2E3D4CL;
    }

    /** Asks for a {@link Pong}. */
    record Ping() implements PeerFrame {}

    /** Answers a {@link Ping}. */
    record Pong() implements PeerFrame {}

    /** A message for the listener. */
    record Content(PeerMessage message) implements PeerFrame {}

    /** A frame that a newer release may send; it is counted and skipped. */
    record Unknown(String kind) implements PeerFrame {}
}
