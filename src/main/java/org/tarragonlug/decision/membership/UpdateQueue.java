package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.tarragonlug.id.InstanceId;

/**
 * Queue of member updates that still have to be sent with messages. The update that was sent least
 * often is taken first.
 *
 * <p>Each update is sent a number of times that grows with the logarithm of the number of members,
 * so that it also reaches members that the pushes missed. New updates are also pushed to a few
 * neighbours at once instead of waiting for the next probe.
 *
 * <p>When another member sends back an update, that member already knows it. Each received copy
 * therefore counts as one send, and after a few copies the second push is skipped. Without this
 * rule, updates about many members at once, for instance after all members start, were sent with
 * every message for another 20 s after all members knew them.
 */
final class UpdateQueue {
    private static final int DOUBLINGS_PER_SEND = 2;
    private static final int MIN_SENDS = 3;
    private static final int PUSHES_PER_UPDATE = 2;
    private static final int COPIES_REPLACING_PUSH = 5;
    private static final Duration PUSH_INTERVAL = Duration.ofSeconds(1);

    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();

    /** Adds an update that is also pushed; it replaces an older update about the same member. */
    void add(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, PUSHES_PER_UPDATE));
    }

    /**
     * Adds an update that makes a suspect or dead member alive. Received copies do not reduce how
     * often a refutation is sent, because a member that misses it removes a live member or keeps it
     * removed.
     */
    void addRefutation(MemberUpdate update) {
        add(update);
        entries.get(update.instance()).isRefutation = true;
    }

    /** Adds an update that is not pushed but only sent along with other messages. */
    void addWithoutPush(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, 0));
    }

    /** Counts a copy of an update that another member sent. */
    void countReceivedCopy(MemberUpdate update) {
        Entry entry = entries.get(update.instance());
        if (entry != null && !entry.isRefutation && entry.isSameClaim(update)) {
            entry.sendCount++;
            entry.copiesReceived++;
        }
    }

    /**
     * Takes the updates that are due to be pushed, at most {@code limit}.
     *
     * <p>Each update is pushed twice. At the first push, some neighbours may be unavailable without
     * this process knowing it; before the second push, some of them are detected and replaced.
     */
    List<MemberUpdate> takePushes(int limit, Instant now) {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry entry : entries.values()) {
            entry.skipRedundantPush();
            if (entry.pushesLeft > 0 && taken.size() < limit && !now.isBefore(entry.nextPush)) {
                entry.pushesLeft--;
                entry.nextPush = now.plus(PUSH_INTERVAL);
                taken.add(entry.update);
            }
        }
        entries.values().removeIf(Entry::isDone);
        return taken;
    }

    /**
     * Takes updates to send with one message.
     *
     * @param limit maximum number of updates
     * @param members number of members; determines how often each update is sent
     */
    List<MemberUpdate> take(int limit, int members) {
        if (entries.isEmpty()) {
            return List.of();
        }
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members);
        int maxSends = Math.max(MIN_SENDS, 1 + doublings / DOUBLINGS_PER_SEND);
        entries.values().forEach(entry -> entry.sentEnough = entry.sendCount >= maxSends);
        List<Entry> chosen =
                entries.values().stream()
                        .filter(entry -> !entry.sentEnough)
                        .sorted(Comparator.comparingInt(entry -> entry.sendCount))
                        .limit(limit)
                        .toList();
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry entry : chosen) {
            taken.add(entry.update);
            entry.sendCount++;
            entry.sentEnough = entry.sendCount >= maxSends;
        }
        entries.values().removeIf(Entry::isDone);
        return taken;
    }

    private static final class Entry {
        private final MemberUpdate update;
        private int pushesLeft;
        private Instant nextPush = Instant.EPOCH;
        private int sendCount;
        private int copiesReceived;
        private boolean isRefutation;
        private boolean sentEnough;

        Entry(MemberUpdate update, int pushes) {
            this.update = update;
            this.pushesLeft = pushes;
        }

        boolean isSameClaim(MemberUpdate other) {
            return update.incarnation() == other.incarnation() && update.state() == other.state();
        }

        /**
         * Skips the second push if enough copies were received. The first push is never skipped,
         * because it spreads an update to all members within a second.
         */
        void skipRedundantPush() {
            if (pushesLeft < PUSHES_PER_UPDATE && copiesReceived >= COPIES_REPLACING_PUSH) {
                pushesLeft = 0;
            }
        }

        boolean isDone() {
            return sentEnough && pushesLeft == 0;
        }
    }
}
