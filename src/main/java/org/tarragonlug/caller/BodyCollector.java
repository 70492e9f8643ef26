package org.tarragonlug.caller;

import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;

/** Collects a request body up to a size limit. Bytes are dropped once the limit is exceeded. */
final class BodyCollector {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final long limit;
    private long received;

    BodyCollector(long limit) {
        this.limit = limit;
    }

    BodyCollector add(Buffer buffer) {
        int length = buffer.readableBytes();
        received += length;
        if (received <= limit) {
            byte[] part = new byte[length];
            buffer.readBytes(part);
            bytes.write(part, 0, length);
        }
        return this;
    }

    boolean limitExceeded() {
        return received > limit;
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }
}
