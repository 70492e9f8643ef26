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
 * Sizes of encoded messages. Messages of the detectors are too many to encode each: their size is
 * the sum of the encoded sizes of the message without changes and of each change, both remembered.
 */
final class MessageSizes {
    private static final int MAXIMUM_CACHED_UPDATES = 200_000;
    private static final int MAXIMUM_SMALL_ARRAY_LENGTH = 15;
    private static final int LARGE_ARRAY_EXTRA_BYTES = 2;

    private final PeerCodec codec = new PeerCodec(new ProcessId("i-0123456789/1700000000000"));
    private final Map<String, Integer> messageBytes = new HashMap<>();
    private final Map<MemberUpdate, Integer> updateBytes = new HashMap<>();

    /** Returns the size of the encoded message without its length, bytes. */
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

    /** The field name "updates" with its header, and the header of the array. */
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

    /** Messages of one shape have the same size: ids have one length, numbers are told apart. */
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
