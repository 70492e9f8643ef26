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
 */
final class UpdateQueue {
    private static final int DOUBLINGS_PER_SEND = 2;
    private static final int MINIMUM_SENDS = 3;
    private static final int PUSHES = 2;
    private static final Duration BETWEEN_PUSHES = Duration.ofSeconds(1);

    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();

    /** Adds a change that is pushed; it replaces an older one about the same member. */
    void add(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, PUSHES));
    }

    /** Adds a change that only travels with other messages. */
    void addWithoutPush(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update, 0));
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
            if (entry.pushesLeft > 0 && taken.size() < limit && !now.isBefore(entry.nextPush)) {
                entry.pushesLeft--;
                entry.nextPush = now.plus(BETWEEN_PUSHES);
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
        List<Entry> chosen =
                entries.values().stream()
                        .filter(entry -> !entry.sentEnough)
                        .sorted(Comparator.comparingInt(entry -> entry.sent))
                        .limit(limit)
                        .toList();
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members);
        int most = Math.max(MINIMUM_SENDS, 1 + doublings / DOUBLINGS_PER_SEND);
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry entry : chosen) {
            taken.add(entry.update);
            entry.sent++;
            entry.sentEnough = entry.sent >= most;
        }
        entries.values().removeIf(Entry::isDone);
        return taken;
    }

    private static final class Entry {
        private final MemberUpdate update;
        private int pushesLeft;
        private Instant nextPush = Instant.EPOCH;
        private int sent;
        private boolean sentEnough;

        Entry(MemberUpdate update, int pushes) {
            this.update = update;
            this.pushesLeft = pushes;
        }

        boolean isDone() {
            return sentEnough && pushesLeft == 0;
        }
    }
}
