package org.tarragonlug.http;

/**
 * Limits for the parts of an HTTP message that are not body.
 *
 * @param headBytes size of the largest head in bytes, including all interim answers before it
 * @param headLines largest number of lines in a head, including all interim answers before it; each
 *     line becomes an object of several hundred bytes, so a limit for the bytes alone is not enough
 * @param trailerBytes size of the largest trailer section in bytes
 */
public record FramingLimits(int headBytes, int headLines, int trailerBytes) {
    /** Limits for answers of servers, which send a few dozen header lines at most. */
    public static final FramingLimits ANSWER = new FramingLimits(32 * 1024, 256, 4 * 1024);

    /** Bytes allowed for the size line and the line ends of one chunk. */
    static final int BYTES_PER_CHUNK = 32;
}
