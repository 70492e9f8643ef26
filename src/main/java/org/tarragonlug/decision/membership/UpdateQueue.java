package org.tarragonlug.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.tarragonlug.id.InstanceId;

/**
 * The member changes that still travel with messages, the least sent first.
 *
 * <p>Each change is sent a number of times that grows with the logarithm of the number of members,
 * which catches up members that the pushes missed. New changes are also pushed to a few neighbours
 * at once in place of waiting for the next probe.
 *
 * <p>A change that others send back is known to them: each copy heard counts as one sent, and after
 * a few copies the second push is left out. Without this, changes of many members at once, for
 * instance the start of all, travelled with every message for 20 s after all members knew them.
 */
final class UpdateQueue {
    private static final int DOUBLINGS_PER_SEND = 2;
    private static final int MIN_SENDS = 3;
    private static final int PUSHES_PER_UPDATE = 2;
    private static final int COPIES_REPLACING_PUSH = 5;
    private static final Duration PUSH_INTERVAL = Duration.ofSeconds(1);

    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();

    /** Adds a change that is pushed; it replaces an older one about the same member. */
    void add(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, PUSHES_PER_UPDATE));
    }

    /**
     * Adds a change that makes a suspect or dead member alive. It is sent in full whatever is
     * heard: one member that misses it removes a live member or keeps it removed.
     */
    void addRefutation(MemberUpdate update) {
        add(update);
        entries.get(update.instance()).isRefutation = true;
    }

    /** Adds a change that only travels with other messages. */
    void addWithoutPush(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, 0));
    }

    /** Notes that another member sent a claim that is known here. */
    void countReceivedCopy(MemberUpdate update) {
        Entry entry = entries.get(update.instance());
        if (entry != null && !entry.isRefutation && entry.isSameClaim(update)) {
            entry.sendCount++;
            entry.copiesReceived++;
        }
    }

    /**
     * Takes the changes that are to be pushed now, at most a number.
     *
     * <p>Each is pushed twice: the second time some of the neighbours that were gone at the first
     * push are known to be gone and were replaced.
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
     * Takes changes to send with one message.
     *
     * @param limit most changes
     * @param members number of members, which sets how often each change is sent
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

        /** The first push is never left out: it is what spreads a change within a second. */
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
