package org.tarragonlug.measure;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Compares what members believe with what happened: detection times of members that are gone, and
 * false alarms, which are removals of members that are there.
 */
final class DetectionRecord implements VirtualCluster.Observer {
    private static final long LONGEST_MICROS = 7_200_000_000L;
    private static final int DIGITS = 3;

    private final Histogram detections = new Histogram(LONGEST_MICROS, DIGITS);
    private final BitSet[] removed;
    private final long[] goneSince;
    private final BitSet wronglyRemoved = new BitSet();
    private long expected;
    private long falseAlarms;
    private Separation separation = (observer, subject) -> false;

    /** Tells which pairs are cut off from each other, so that a removal is right. */
    interface Separation {
        boolean isCut(int observer, int subject);
    }

    DetectionRecord(int members) {
        removed = new BitSet[members];
        goneSince = new long[members];
        for (int member = 0; member < members; member++) {
            removed[member] = new BitSet();
            goneSince[member] = -1;
        }
    }

    /** A member is gone from now on; a number of others should remove it. */
    void gone(int member, long micros, int observers) {
        goneSince[member] = micros;
        expected += observers;
    }

    /** A member is back. */
    void back(int member) {
        goneSince[member] = -1;
    }

    void separation(Separation newSeparation) {
        separation = newSeparation;
    }

    @Override
    public void lost(int observer, int subject, long micros) {
        removed[observer].set(subject);
        if (goneSince[observer] >= 0) {
            // Views of members that do not run, or ran a moment ago, are nobody's concern.
            return;
        }
        if (goneSince[subject] >= 0) {
            detections.recordValue(Math.max(0, micros - goneSince[subject]));
        } else if (!separation.isCut(observer, subject)) {
            falseAlarms++;
            wronglyRemoved.set(subject);
        }
    }

    @Override
    public void joined(int observer, int subject, long micros) {
        removed[observer].clear(subject);
    }

    /** Counts pairs of running members of which the first has removed the second. */
    long missingPairs(VirtualCluster cluster) {
        long missing = 0;
        for (int observer = 0; observer < cluster.size(); observer++) {
            for (int subject = 0; subject < cluster.size(); subject++) {
                if (cluster.isUp(observer)
                        && cluster.isUp(subject)
                        && removed[observer].get(subject)) {
                    missing++;
                }
            }
        }
        return missing;
    }

    /** Returns what a member removed, to be forgotten when it starts anew. */
    void forget(int observer) {
        removed[observer].clear();
    }

    Histogram detections() {
        return detections;
    }

    long expected() {
        return expected;
    }

    long falseAlarms() {
        return falseAlarms;
    }

    int wronglyRemoved() {
        return wronglyRemoved.cardinality();
    }
}
