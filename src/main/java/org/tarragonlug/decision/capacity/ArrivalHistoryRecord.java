package org.tarragonlug.decision.capacity;

/**
 * The stored form of an {@link ArrivalHistory}: plain numbers and arrays. Empty buckets of the week
 * are omitted, which keeps a typical record below 4 KB.
 *
 * @param formatVersion version of the stored form; a reader that does not know the version starts
 *     with an empty history
 * @param since start of the history, seconds since the epoch
 * @param writtenAt time to which the weights are decayed, seconds since the epoch
 * @param lastArrival time of the last arrival, seconds since the epoch; zero if there was none
 * @param callersPerStart exponentially decayed mean number of callers that arrive together at the
 *     start of a session
 * @param gaps weight of each gap bucket
 * @param gapCallers weight of the callers that arrived at the end of the gaps of each bucket
 * @param hours indexes of the hours of the week that had arrivals
 * @param hourWeights weight of each of {@code hours}
 * @param startSlots indexes of the five-minute slots of the week that had session starts
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
