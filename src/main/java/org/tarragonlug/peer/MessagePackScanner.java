package org.tarragonlug.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;

/**
 * Checks that a frame is exactly one well-formed MessagePack value.
 *
 * <p>The parser allocates the declared length of a binary value before it reads the bytes, so a
 * frame of ten bytes could make it allocate 2 GB. Therefore this check runs before the parser: it
 * compares declared lengths with the remaining bytes and limits the depth of nesting.
 */
final class MessagePackScanner {
    private static final int MAX_DEPTH = 32;

    private final ByteBuffer bytes;

    private MessagePackScanner(ByteBuffer bytes) {
        this.bytes = bytes;
    }

    static void check(byte[] frame) throws TarragonlugException {
        MessagePackScanner scanner = new MessagePackScanner(ByteBuffer.wrap(frame));
        try {
            scanner.scanValue(0);
        } catch (BufferUnderflowException e) {
            throw invalid("the frame ends within a value");
        }
        if (scanner.bytes.hasRemaining()) {
            throw invalid(scanner.bytes.remaining() + " bytes follow the value of the frame");
        }
    }

    private void scanValue(int depth) throws TarragonlugException {
        if (depth > MAX_DEPTH) {
            throw invalid("the frame is nested deeper than " + MAX_DEPTH + " levels");
        }
        int code = bytes.get() & 0xff;
        if (code < 0x80 || code >= 0xe0) {
            return;
        }
        if (code < 0x90) {
            scanContainer(2L * (code & 0x0f), depth);
        } else if (code < 0xa0) {
            scanContainer(code & 0x0f, depth);
        } else if (code < 0xc0) {
            skip(code & 0x1f);
        } else {
            scanPrefixed(code, depth);
        }
    }

    private void scanPrefixed(int code, int depth) throws TarragonlugException {
        switch (code) {
            case 0xc0, 0xc2, 0xc3 -> {}
            case 0xc4, 0xd9 -> skip(readLength(1));
            case 0xc5, 0xda -> skip(readLength(2));
            case 0xc6, 0xdb -> skip(readLength(4));
            case 0xcc, 0xd0 -> skip(1);
            case 0xcd, 0xd1 -> skip(2);
            case 0xca, 0xce, 0xd2 -> skip(4);
            case 0xcb, 0xcf, 0xd3 -> skip(8);
            case 0xdc -> scanContainer(readLength(2), depth);
            case 0xdd -> scanContainer(readLength(4), depth);
            case 0xde -> scanContainer(2 * readLength(2), depth);
            case 0xdf -> scanContainer(2 * readLength(4), depth);
            default -> throw invalid("the frame contains the unsupported type code " + code);
        }
    }

    private void scanContainer(long values, int depth) throws TarragonlugException {
        if (values > bytes.remaining()) {
            throw invalid("the frame ends within a value");
        }
        for (long index = 0; index < values; index++) {
            scanValue(depth + 1);
        }
    }

    private long readLength(int size) {
        long length = 0;
        for (int index = 0; index < size; index++) {
            length = length << 8 | bytes.get() & 0xff;
        }
        return length;
    }

    private void skip(long length) throws TarragonlugException {
        if (length > bytes.remaining()) {
            throw invalid("the frame ends within a value");
        }
        bytes.position(bytes.position() + (int) length);
    }

    private static TarragonlugException invalid(String detail) {
        return new TarragonlugException(ErrorCode.PEER_FRAME_INVALID, detail);
    }
}
