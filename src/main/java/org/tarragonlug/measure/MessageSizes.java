package org.tarragonlug.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.membership.MemberUpdate;
import org.tarragonlug.decision.membership.MembershipMessage;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.peer.PeerCodec;
import org.tarragonlug.peer.PeerMessage;

/**
 * Computes the sizes of encoded messages. The detectors send too many messages to encode each one.
 * The size of their messages is the encoded size of the message without updates plus the encoded
 * size of each update, and both are cached.
 */
final class MessageSizes {
    private static final int MAXIMUM_CACHED_UPDATES = 200_000;
    private static final int MAXIMUM_SMALL_ARRAY_LENGTH = 15;
    private static final int LARGE_ARRAY_EXTRA_BYTES = 2;

    private final PeerCodec codec = new PeerCodec(new ProcessId("i-0123456789/1700000000000"));
    private final Map<String, Integer> messageBytes = new HashMap<>();
    private final Map<MemberUpdate, Integer> updateBytes = new HashMap<>();

    /** Returns the size of the encoded message in bytes, without the length prefix. */
    int encodedBytes(PeerMessage message) {
        if (!(message instanceof PeerMessage.Membership membership)) {
            return codec.encode(message).length;
        }
        MembershipMessage content = membership.content();
        int size =
                messageBytes.computeIfAbsent(
                        sizeKey(content),
                        key -> codec.encode(withUpdates(content, List.of())).length);
        if (content.updates().isEmpty()) {
            return size;
        }
        size += arrayHeaderBytes(content.updates().size());
        if (updateBytes.size() > MAXIMUM_CACHED_UPDATES) {
            updateBytes.clear();
        }
        for (MemberUpdate update : content.updates()) {
            size += updateBytes.computeIfAbsent(update, this::encodeUpdateBytes);
        }
        return size;
    }

    /** Returns the bytes of the field name "updates" with its header, and of the array header. */
    private static int arrayHeaderBytes(int length) {
        int name = 1 + "updates".length();
        return name + 1 + (length > MAXIMUM_SMALL_ARRAY_LENGTH ? LARGE_ARRAY_EXTRA_BYTES : 0);
    }

    private int encodeUpdateBytes(MemberUpdate update) {
        MembershipMessage one = new MembershipMessage.Gossip(ConfigurationVersion.NONE, List.of());
        int without = codec.encode(withUpdates(one, List.of())).length;
        return codec.encode(withUpdates(one, List.of(update))).length
                - without
                - arrayHeaderBytes(1);
    }

    private static PeerMessage withUpdates(MembershipMessage message, List<MemberUpdate> updates) {
        ConfigurationVersion version = message.configuration();
        if (message instanceof MembershipMessage.Probe probe) {
            return PeerMessage.of(new MembershipMessage.Probe(probe.sequence(), version, updates));
        }
        if (message instanceof MembershipMessage.ProbeAcknowledgement answer) {
            return PeerMessage.of(
                    new MembershipMessage.ProbeAcknowledgement(
                            answer.sequence(), answer.subject(), version, updates));
        }
        if (message instanceof MembershipMessage.IndirectProbe indirect) {
            return PeerMessage.of(
                    new MembershipMessage.IndirectProbe(
                            indirect.sequence(), indirect.target(), version, updates));
        }
        return PeerMessage.of(new MembershipMessage.Gossip(version, updates));
    }

    /**
     * Returns a key that is equal for messages whose encoded size without updates is equal. All ids
     * have the same length, so only the type and the lengths of the encoded numbers differ.
     */
    private static String sizeKey(MembershipMessage message) {
        long sequence = 0;
        if (message instanceof MembershipMessage.Probe probe) {
            sequence = probe.sequence();
        } else if (message instanceof MembershipMessage.ProbeAcknowledgement answer) {
            sequence = answer.sequence();
        } else if (message instanceof MembershipMessage.IndirectProbe indirect) {
            sequence = indirect.sequence();
        }
        return message.getClass().getSimpleName()
                + numberBytes(sequence)
                + "/"
                + numberBytes(message.configuration().value());
    }

    private static int numberBytes(long value) {
        if (value < 1 << 7) {
            return 1;
        }
        if (value < 1 << 8) {
            return 2;
        }
        return value < 1 << 16 ? 3 : 5;
    }
}
