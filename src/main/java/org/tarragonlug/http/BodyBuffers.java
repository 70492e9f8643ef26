package org.tarragonlug.http;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import java.util.ArrayList;
import java.util.List;

/** Wraps the content of messages for the HTTP library. */
public final class BodyBuffers {
    /** Bytes that are sent at a time; the library copies the whole of each piece when it does. */
    private static final int PIECE_BYTES = 64 * 1024;

    private BodyBuffers() {}

    /** Returns buffers with the content, which is not copied. */
    public static List<Buffer> wrap(HttpBody body, BufferAllocator allocator) {
        List<Buffer> buffers = new ArrayList<>();
        for (byte[] part : body.parts()) {
            for (int start = 0; start < part.length; start += PIECE_BYTES) {
                int length = Math.min(PIECE_BYTES, part.length - start);
                buffers.add(allocator.wrap(part, start, length));
            }
        }
        return buffers;
    }
}
