package org.tarragonlug.measure;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Compares what members believe with what happened: detection times of members that are gone, and
 * false alarms, which are removals of members that are there.
 */
final class DetectionRecord implements VirtualCluster.Observer {
    private static final long MAXIMUM_MICROS = 7_200_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram detections = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final BitSet[] removed;
    private final long[] downSince;
    private final BitSet wronglyRemovedMembers = new BitSet();
    private long expectedDetections;
    private long falseAlarms;
    private Partition partition = (observer, subject) -> false;

    /** Tells which pairs are cut off from each other, so that a removal is right. */
    interface Partition {
        boolean separates(int observer, int subject);
    }

    DetectionRecord(int members) {
        removed = new BitSet[members];
        downSince = new long[members];
        for (int member = 0; member < members; member++) {
            removed[member] = new BitSet();
            downSince[member] = -1;
        }
    }

    /** A member is gone from now on; a number of others should remove it. */
    void markDown(int member, long micros, int observers) {
        downSince[member] = micros;
        expectedDetections += observers;
    }

    /** A member is back. */
    void markUp(int member) {
        downSince[member] = -1;
    }

    void setPartition(Partition newPartition) {
        partition = newPartition;
    }

    @Override
    public void onMemberRemoved(int observer, int subject, long micros) {
        removed[observer].set(subject);
        if (downSince[observer] >= 0) {
            // Views of members that do not run, or ran a moment ago, are nobody's concern.
            return;
        }
        if (downSince[subject] >= 0) {
            detections.recordValue(Math.max(0, micros - downSince[subject]));
        } else if (!partition.separates(observer, subject)) {
            falseAlarms++;
            wronglyRemovedMembers.set(subject);
        }
    }

    @Override
    public void onMemberAdded(int observer, int subject, long micros) {
        removed[observer].clear(subject);
    }

    /** Counts pairs of running members of which the first has removed the second. */
    long wronglyRemovedPairs(VirtualCluster cluster) {
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
    void clearRemovals(int observer) {
        removed[observer].clear();
    }

    Histogram detections() {
        return detections;
    }

    long expectedDetections() {
        return expectedDetections;
    }

    long falseAlarms() {
        return falseAlarms;
    }

    int wronglyRemovedCount() {
        return wronglyRemovedMembers.cardinality();
    }
}
