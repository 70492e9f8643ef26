package org.tarragonlug.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.tarragonlug.id.InstanceId;

/**
 * The member changes that still travel with messages, the least sent first.
 *
 * <p>Each change is sent a number of times that grows with the logarithm of the number of members,
 * which is what an epidemic needs to reach all of them. Changes that were not sent yet are fresh:
 * the detector pushes them to a few members at once in place of waiting for the next probe.
 */
final class UpdateQueue {
    private static final int SENDS_PER_DOUBLING = 2;
    private static final int MINIMUM_SENDS = 4;

    private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();

    /** Adds a change; it replaces an older one about the same member. */
    void add(MemberUpdate update) {
        entries.put(update.instance(), new Entry(update));
    }

    /** Tells whether a change was never pushed. */
    boolean hasFresh() {
        return entries.values().stream().anyMatch(entry -> entry.fresh);
    }

    /** Takes fresh changes, at most a number; they count as pushed from now on. */
    List<MemberUpdate> takeFresh(int limit) {
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.fresh && taken.size() < limit) {
                entry.fresh = false;
                taken.add(entry.update);
            }
        }
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
                        .sorted(Comparator.comparingInt(entry -> entry.sent))
                        .limit(limit)
                        .toList();
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members);
        int most = Math.max(MINIMUM_SENDS, SENDS_PER_DOUBLING * doublings);
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry entry : chosen) {
            taken.add(entry.update);
            entry.sent++;
            if (entry.sent >= most) {
                entries.remove(entry.update.instance());
            }
        }
        return taken;
    }

    private static final class Entry {
        private final MemberUpdate update;
        private boolean fresh = true;
        private int sent;

        Entry(MemberUpdate update) {
            this.update = update;
        }
    }
}
