package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.StoreEra;

/**
 * Tells whether the entry of a server is newer than what the server has said before.
 *
 * <p>Within an era of the store the order of its revisions decides, unless the number of the write
 * shows that the store has made it late, after a later one of the same run. A store that comes back
 * from an older copy lists entries that the servers have replaced since, and those of servers that
 * have left. What a server has said does not end with the era in which it was read. An entry of
 * another era is therefore compared by what the server itself has put into it: the time of its
 * start, and the number of the write.
 *
 * <p>A server that leaves need not say so; its entry may only be removed. The number of the last
 * write that was read tells nothing then, because the store shows no write that changes the number
 * alone. The copy's entry of such a server is withheld until it is shown that the server still
 * writes: the entry changes in the present era, or it is still listed after {@link #renewalTime},
 * when the store would have removed it otherwise.
 */
public final class ServerStatements {
    /** Report intervals after which the store has removed an entry that is not renewed. */
    private static final int INTERVALS_TO_REMOVAL = 4;

    /** How long the removal of an entry is remembered; copies are much younger. */
    private static final Duration REMOVAL_RETENTION = Duration.ofMinutes(10);

    private static final int MAX_REMOVED = 4096;

    private final Duration renewalTime;
    private final Map<ServerId, RememberedServer> listed = new HashMap<>();

    /** The servers whose entries were removed, the latest removal last. */
    private final Map<ServerId, RememberedServer> removed = new LinkedHashMap<>();

    /**
     * Creates the memory of an instance that has read no entry.
     *
     * @param limits what the platform allows
     */
    public ServerStatements(WatchLimits limits) {
        this.renewalTime = limits.reportInterval().multipliedBy(INTERVALS_TO_REMOVAL);
    }

    /** Returns for how long a withheld entry must be listed until it counts as renewed. */
    public Duration renewalTime() {
        return renewalTime;
    }

    /** Judges an entry that was read, and remembers it if it is current. */
    public ServerVerdict onRead(ServerStatement read, Instant now) {
        return judge(read, false, now);
    }

    /** Judges a withheld entry that has been listed for {@link #renewalTime}. */
    public ServerVerdict onRenewed(ServerStatement read, Instant now) {
        return judge(read, true, now);
    }

    private ServerVerdict judge(ServerStatement read, boolean renewed, Instant now) {
        ServerId id = read.run().server();
        RememberedServer known = listed.getOrDefault(id, removed.get(id));
        ServerVerdict verdict = known == null ? ServerVerdict.CURRENT : known.judge(read, renewed);
        if (verdict == ServerVerdict.CURRENT) {
            removed.remove(id);
            listed.put(id, new RememberedServer(read, now));
        } else {
            known.rememberUnused(read);
        }
        return verdict;
    }

    /**
     * Records that the entry of a server was removed.
     *
     * @param era the present era of the store
     */
    public void onRemoved(ServerId id, StoreEra era, Instant now) {
        RememberedServer before = listed.containsKey(id) ? listed.remove(id) : removed.remove(id);
        if (before != null) {
            removed.put(id, before.removedAt(now, era));
        }
        forgetOldRemovals(now);
    }

    private void forgetOldRemovals(Instant now) {
        Iterator<RememberedServer> oldest = removed.values().iterator();
        while (oldest.hasNext()
                && (oldest.next().since().plus(REMOVAL_RETENTION).isBefore(now)
                        || removed.size() > MAX_REMOVED)) {
            oldest.remove();
        }
    }
}
