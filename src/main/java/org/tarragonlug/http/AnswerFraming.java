package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;
import java.util.Locale;

/**
 * Finds where the answers on a connection end, in the bytes as they are received.
 *
 * <p>A server may send bytes after a complete answer that belong to no request. The HTTP library
 * decodes all bytes of a read and would take them for the answer to the next request. Therefore the
 * bytes are handed to it in pieces that never reach beyond the end of an answer. This class tells
 * the length of the next piece. It does not check whether the bytes are valid; the library does,
 * and a difference between the two ends the connection.
 *
 * <p>The head ends with its first empty line. What follows it is told by {@link #startBody}, from
 * the headers that the library has decoded. A chunked body is followed chunk by chunk, up to the
 * empty line after its trailers.
 */
final class AnswerFraming {
    /** How the end of a body is found. */
    enum BodyEnd {
        /** After a number of bytes. */
        LENGTH,
        /** After the last chunk and the trailers. */
        CHUNKS,
        /** When the connection is closed. */
        CLOSE
    }

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final int HEXADECIMAL = 16;

    /** Sizes beyond this are no sizes of chunks; the body is limited far below it. */
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private enum Part {
        HEAD,
        FIXED_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_LINE_END,
        TRAILERS,
        UNTIL_CLOSE,
        ENDED
    }

    private Part part = Part.HEAD;
    private boolean lineEmpty = true;
    private long remainingBytes;
    private boolean sizeComplete;
    private final HeadBeginnings headBeginnings = new HeadBeginnings();
    private boolean headMayEnd;

    /** Prepares for the next answer. */
    void startHead() {
        part = Part.HEAD;
        lineEmpty = true;
        headBeginnings.reset();
    }

    /**
     * Records that the head is complete. Must be called before the next piece is measured.
     *
     * @param end how the end of the body is found
     * @param length length of the body in bytes, if the end is found by it
     */
    void startBody(BodyEnd end, long length) {
        switch (end) {
            case LENGTH -> {
                remainingBytes = length;
                part = length > 0 ? Part.FIXED_BODY : Part.ENDED;
            }
            case CHUNKS -> startChunk();
            default -> part = Part.UNTIL_CLOSE;
        }
    }

    /**
     * Records that the head is complete, and finds how the body ends as RFC 9112, section 6.3,
     * defines it for all requests but HEAD.
     *
     * @param transferEncoding the header's value; empty if absent
     * @param contentLength the header's value; empty if absent
     */
    void startBody(int status, String transferEncoding, String contentLength) {
        if (status == NO_CONTENT || status == NOT_MODIFIED) {
            startBody(BodyEnd.LENGTH, 0);
        } else if (transferEncoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            startBody(BodyEnd.CHUNKS, 0);
        } else {
            startBodyOfLength(contentLength);
        }
    }

    private void startBodyOfLength(String contentLength) {
        try {
            startBody(BodyEnd.LENGTH, Long.parseLong(contentLength));
        } catch (NumberFormatException absentOrUnreadable) {
            // Without a length the connection is not used again after the answer.
            startBody(BodyEnd.CLOSE, 0);
        }
    }

    private void startChunk() {
        part = Part.CHUNK_SIZE;
        remainingBytes = 0;
        sizeComplete = false;
    }

    /** Returns whether the answer is complete, so that further bytes belong to no request. */
    boolean isEnded() {
        return part == Part.ENDED;
    }

    /** Returns whether the answer ends only when the connection is closed. */
    boolean endsWithConnection() {
        return part == Part.UNTIL_CLOSE;
    }

    /**
     * Returns whether the head contains the beginning of another one within its lines. Additional
     * bytes that end in the middle of a line are joined in this way with the answer that follows.
     */
    boolean hasJoinedHeads() {
        return headBeginnings.count() > 1;
    }

    /**
     * Returns how many of the readable bytes to hand on next, and follows them. A piece ends at the
     * latest with a head or with the answer.
     *
     * @param bytes the received bytes; their reader index does not change
     * @param limit largest number of bytes to hand on at a time
     * @return the length of the next piece; 0 only if no bytes are readable or the answer has ended
     */
    int nextPiece(ByteBuf bytes, int limit) {
        int available = Math.min(limit, bytes.readableBytes());
        int length = 0;
        headMayEnd = false;
        while (length < available && part != Part.ENDED && !headMayEnd) {
            switch (part) {
                case UNTIL_CLOSE -> length = available;
                case FIXED_BODY, CHUNK_DATA -> length += followBody(available - length);
                default -> {
                    followLine(bytes.getByte(bytes.readerIndex() + length));
                    length++;
                }
            }
        }
        return length;
    }

    /**
     * Returns whether the last piece ended with an empty line of a head. If the library has not
     * reported a head by then, it was that of an interim answer.
     */
    boolean headMayEnd() {
        return headMayEnd;
    }

    /** Records that an interim answer was complete, after which another head follows. */
    void onInterimAnswer() {
        headBeginnings.reset();
    }

    private int followBody(int available) {
        int length = (int) Math.min(available, remainingBytes);
        remainingBytes -= length;
        if (remainingBytes == 0) {
            part = part == Part.FIXED_BODY ? Part.ENDED : Part.CHUNK_LINE_END;
        }
        return length;
    }

    private void followLine(byte next) {
        switch (part) {
            case HEAD -> followHead(next);
            case CHUNK_SIZE -> followChunkSize(next);
            case CHUNK_LINE_END -> {
                if (next == LINE_FEED) {
                    startChunk();
                }
            }
            case TRAILERS -> {
                if (endsEmptyLine(next)) {
                    part = Part.ENDED;
                }
            }
            default -> throw new IllegalStateException("no line is due in part " + part);
        }
    }

    private void followHead(byte next) {
        headBeginnings.follow(next);
        headMayEnd = endsEmptyLine(next);
    }

    private boolean endsEmptyLine(byte next) {
        if (next != LINE_FEED) {
            lineEmpty = lineEmpty && next == CARRIAGE_RETURN;
            return false;
        }
        boolean ends = lineEmpty;
        lineEmpty = true;
        return ends;
    }

    private void followChunkSize(byte next) {
        if (next == LINE_FEED) {
            part = remainingBytes == 0 ? Part.TRAILERS : Part.CHUNK_DATA;
            lineEmpty = true;
            return;
        }
        int digit = Character.digit(next, HEXADECIMAL);
        if (digit < 0 || sizeComplete) {
            // Blanks before the size are skipped; an extension ends it.
            sizeComplete |= next == ';' || remainingBytes > 0;
            return;
        }
        remainingBytes = Math.min(MAX_CHUNK_BYTES, remainingBytes * HEXADECIMAL + digit);
    }
}
