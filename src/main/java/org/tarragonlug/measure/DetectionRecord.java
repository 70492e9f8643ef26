package org.tarragonlug.measure;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Compares the members' views with the actual state of the members. Records the detection times of
 * members that are down, and false alarms, which are removals of members that are up and reachable.
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

    /** Tells which pairs of members cannot reach each other. Their removals are no false alarms. */
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

    /** Records that a member is down, and how many observers are expected to remove it. */
    void markDown(int member, long micros, int observers) {
        downSince[member] = micros;
        expectedDetections += observers;
    }

    /** Records that a member is up again. */
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
            // The view of an observer does not count while the observer is down or has only just
            // stopped running.
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

    /** Returns the number of ordered pairs of running members whose first removed the second. */
    long wronglyRemovedPairs(VirtualCluster cluster) {
        long pairs = 0;
        for (int observer = 0; observer < cluster.size(); observer++) {
            for (int subject = 0; subject < cluster.size(); subject++) {
                if (cluster.isUp(observer)
                        && cluster.isUp(subject)
                        && removed[observer].get(subject)) {
                    pairs++;
                }
            }
        }
        return pairs;
    }

    /** Clears the removals by an observer, which starts with a new view after a restart. */
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
