package org.tarragonlug.caller;

import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The events of a stream that its caller has not read yet.
 *
 * <p>A caller may read slowly or not at all, while a server sends as fast as it can. The buffer
 * limits bytes as well as events: events of a faulty server may be large, and many callers at once
 * may not read. A stream beyond the limit must be given up, since nothing may be left out of it.
 */
final class StreamBuffer {
    private static final int MAX_EVENTS = 8192;

    /** Far more than a whole stream of a model, so that only callers that do not read exceed it. */
    private static final long MAX_BYTES = 256 * 1024;

    private final PublisherSource.Processor<Buffer, Buffer> events =
            Processors.newPublisherProcessor(MAX_EVENTS);
    private final AtomicLong bytes = new AtomicLong();

    /** Returns what the caller reads. */
    Publisher<Buffer> events() {
        return fromSource(events).beforeOnNext(event -> bytes.addAndGet(-event.readableBytes()));
    }

    /**
     * Adds an event.
     *
     * @throws IOException if the buffer is full; the stream must then be broken off
     */
    void add(Buffer event) throws IOException {
        if (bytes.addAndGet(event.readableBytes()) > MAX_BYTES) {
            throw new IOException("the caller does not read; more than " + MAX_BYTES + " bytes");
        }
        try {
            events.onNext(event);
        } catch (RuntimeException full) {
            throw new IOException("the caller does not read " + MAX_EVENTS + " events", full);
        }
    }

    /** Ends the stream as complete. */
    void complete() {
        events.onComplete();
    }

    /** Breaks the stream off. */
    void breakOff(Throwable reason) {
        events.onError(reason);
    }
}
