package org.tarragonlug.standin;

/**
 * Calls of the object API so far; a waiting watch counts as one.
 *
 * @param reads reads and lists
 * @param writes writes and deletions, whatever their result
 * @param watches watches
 * @param conflicts writes and deletions refused because the version differed
 */
public record ObjectApiCounts(long reads, long writes, long watches, long conflicts) {}
