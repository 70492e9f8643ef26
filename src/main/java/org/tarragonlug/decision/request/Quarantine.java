package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ServerId;

/**
 * Suspects and condemned requests by fingerprint.
 *
 * <p>A request becomes a suspect when a server is lost that runs it, and is condemned by a second
 * loss. Copies of a suspect run one at a time, so that a request sent many times at this instance
 * takes down one more server at most. The announcement of a crash by a peer and the own detection
 * of it count as one loss. Both tables are bounded; the oldest entries go first.
 */
final class Quarantine {
    private static final int MAX_SUSPECTS = 10_000;
    private static final int MAX_QUARANTINED = 10_000;

    /** Time within which all instances see the same crash. */
    private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(5);

    private static final class Suspect {
        private ServerId server;
        private Instant lostAt;
        private int runningAttempts;
    }

    private final Duration retention;
    private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();
    private final Set<Fingerprint> quarantined = new LinkedHashSet<>();

    Quarantine(Duration retention) {
        this.retention = retention;
    }

    boolean isQuarantined(Fingerprint fingerprint) {
        return !quarantined.isEmpty() && quarantined.contains(fingerprint);
    }

    boolean isSuspect(Fingerprint fingerprint, Instant now) {
        if (suspects.isEmpty()) {
            return false;
        }
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return false;
        }
        if (suspect.runningAttempts == 0 && suspect.lostAt.plus(retention).isBefore(now)) {
            suspects.remove(fingerprint);
            return false;
        }
        return true;
    }

    boolean hasRunningAttempt(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.runningAttempts > 0;
    }

    void onAttemptStarted(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.runningAttempts++;
        }
    }

    void onAttemptStopped(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.runningAttempts = Math.max(0, suspect.runningAttempts - 1);
        }
    }

    /**
     * Counts the loss of a server that ran the request here.
     *
     * @param sentAt when the request was sent there
     * @return whether this condemns it
     */
    boolean recordLoss(Fingerprint fingerprint, ServerId server, Instant sentAt, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        boolean sameCrash =
                suspect != null && suspect.server.equals(server) && !sentAt.isAfter(suspect.lostAt);
        return countLoss(fingerprint, suspect, server, sameCrash, now);
    }

    /** Counts a loss that a peer announced; tells whether this condemns the request. */
    boolean recordAnnouncedLoss(Fingerprint fingerprint, ServerId server, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        boolean sameCrash =
                suspect != null
                        && suspect.server.equals(server)
                        && suspect.lostAt.plus(SAME_CRASH_WINDOW).isAfter(now);
        return countLoss(fingerprint, suspect, server, sameCrash, now);
    }

    void add(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
        quarantined.add(fingerprint);
        if (quarantined.size() > MAX_QUARANTINED) {
            quarantined.remove(quarantined.iterator().next());
        }
    }

    /** Clears a suspect that passed its isolated retry. */
    void clearSuspect(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    private boolean countLoss(
            Fingerprint fingerprint,
            Suspect suspect,
            ServerId server,
            boolean sameCrash,
            Instant now) {
        if (isQuarantined(fingerprint)) {
            return false;
        }
        if (suspect != null && !sameCrash) {
            add(fingerprint);
            return true;
        }
        if (suspect == null) {
            Suspect added = new Suspect();
            added.server = server;
            added.lostAt = now;
            suspects.put(fingerprint, added);
            if (suspects.size() > MAX_SUSPECTS) {
                suspects.remove(suspects.keySet().iterator().next());
            }
        }
        return false;
    }
}
