package org.tarragonlug.decision.watching;

import java.time.Instant;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** What is remembered of a server, against which entries of later eras are judged. */
final class RememberedServer {
    private final ServerStatement newest;

    /** Era in which the newest statement was read, or the entry's removal. */
    private final StoreEra era;

    private final boolean removed;
    private final Instant since;

    /** Where the first entry of a later era was that was not used; null if there was none. */
    private StorePosition firstUnused;

    /** Remembers an entry that is used. */
    RememberedServer(ServerStatement newest, Instant now) {
        this(newest, newest.position().era(), false, now);
    }

    private RememberedServer(ServerStatement newest, StoreEra era, boolean removed, Instant since) {
        this.newest = newest;
        this.era = era;
        this.removed = removed;
        this.since = since;
    }

    /** Returns the same server after its entry was removed in an era. */
    RememberedServer removedAt(Instant now, StoreEra eraOfRemoval) {
        return new RememberedServer(newest, eraOfRemoval, true, now);
    }

    /** Returns since when the server is remembered in this state. */
    Instant since() {
        return since;
    }

    /**
     * Judges an entry.
     *
     * @param renewed whether the store lists the entry although it would have removed a silent one
     */
    ServerVerdict judge(ServerStatement read, boolean renewed) {
        long started = read.run().startedMillis();
        long startedBefore = newest.run().startedMillis();
        if (started > startedBefore) {
            return ServerVerdict.CURRENT;
        }
        if (read.position().era().equals(era)) {
            return isMadeLate(read) ? ServerVerdict.OUTDATED : ServerVerdict.CURRENT;
        }
        boolean sameRun = started == startedBefore;
        if (sameRun && read.takesBack(newest)) {
            return ServerVerdict.OUTDATED;
        }
        boolean earlier = !sameRun || newest.isNumberedAfter(read);
        if (!removed) {
            return earlier ? ServerVerdict.OUTDATED : ServerVerdict.CURRENT;
        }
        boolean written = !earlier && isWrittenInEra(read);
        return renewed || written ? ServerVerdict.CURRENT : ServerVerdict.WITHHELD;
    }

    /** Tells whether the store has made this write after a later one of the same run. */
    private boolean isMadeLate(ServerStatement read) {
        return newest.isOfKnownRun(read) && newest.isNumberedAfter(read);
    }

    /** Returns whether the store has shown another entry before this one in the same era. */
    private boolean isWrittenInEra(ServerStatement read) {
        return firstUnused != null && read.position().isAfter(firstUnused);
    }

    /** Records that an entry is not used. */
    void rememberUnused(ServerStatement read) {
        StorePosition position = read.position();
        if (firstUnused == null || !firstUnused.era().equals(position.era())) {
            firstUnused = position;
        }
    }
}
