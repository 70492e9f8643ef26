package org.tarragonlug.standin;

/**
 * Numbers of calls to the object API so far. A watch counts once, however long it waits.
 *
 * @param reads reads and lists
 * @param writes writes and deletions, including failed ones
 * @param watches watches
 * @param conflicts writes and deletions rejected because the version differed
 */
public record ObjectApiCounts(long reads, long writes, long watches, long conflicts) {}
