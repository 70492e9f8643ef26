package org.tarragonlug.decision.capacity;

/**
 * The stored form of an {@link ArrivalHistory}: plain numbers and arrays. Empty buckets of the week
 * are left out, which makes a typical record less than 4 KB.
 *
 * @param formatVersion version of this form; a reader that does not know it starts empty
 * @param since when the history began, seconds of the epoch
 * @param writtenAt time as of which the weights are decayed, seconds of the epoch
 * @param lastArrival the last arrival, seconds of the epoch; zero when none is known
 * @param callersPerStart decayed mean number of callers that arrive with a session start
 * @param gaps weight of each gap bucket
 * @param gapCallers weight of the callers after the gaps of each bucket
 * @param hours hours of the week with arrivals
 * @param hourWeights weight of each of {@code hours}
 * @param startSlots five-minute slots of the week with session starts
 * @param startWeights weight of each of {@code startSlots}
 */
public record ArrivalHistoryRecord(
        int formatVersion,
        double since,
        double writtenAt,
        double lastArrival,
        double callersPerStart,
        float[] gaps,
        float[] gapCallers,
        int[] hours,
        float[] hourWeights,
        int[] startSlots,
        float[] startWeights) {}
