package org.tarragonlug.caller;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.tarragonlug.http.HttpBody;

/**
 * Receives the body of one request, within the memory for all bodies.
 *
 * <p>Small bodies are read at once. A larger one is read on when {@link BodyMemory} grants memory
 * for the rest of it: for its stated length, or for the longest allowed body if it states none. A
 * body that is too long, or that is given up while it waits, is read to its end and dropped: if it
 * stayed unread, closing the connection would reset it, and the caller could lose the answer.
 */
final class BodyReceiver implements PublisherSource.Subscriber<Buffer> {
    /** What becomes of a body. One of the methods but the first is called once. */
    interface Listener {
        /** Called when the body must wait for memory, so that it may be given up later. */
        void onBodyWaiting();

        /** Called when the body is complete. */
        void onBodyReceived(HttpBody body);

        /** Called when the end of a body that exceeds the limit has been received. */
        void onBodyTooLong();

        /** Called when the end of a body has been received that was given up. */
        void onBodyGivenUp();

        /** Called if the connection ended before the body did. */
        void onBodyFailed();
    }

    /** Bytes of each body that are read without a reservation. */
    static final int SMALL_BYTES = 16 * 1024;

    private final OptionalLong statedLength;
    private final long limit;
    private final BodyMemory memory;
    private final Listener listener;
    private final List<byte[]> parts = new ArrayList<>();
    private PublisherSource.Subscription subscription;
    private BodyMemory.Reservation reservation;
    private long received;
    private boolean tooLong;
    private volatile boolean givenUp;
    private volatile boolean granted;

    /**
     * Creates a receiver.
     *
     * @param statedLength the length that the head of the request states; empty if it states none
     * @param limit length of the longest body that is accepted, in bytes
     */
    BodyReceiver(OptionalLong statedLength, long limit, BodyMemory memory, Listener listener) {
        this.statedLength = statedLength;
        this.limit = limit;
        this.memory = memory;
        this.listener = listener;
    }

    /** Returns the length of the body that the head of a request states; empty if it has none. */
    static OptionalLong statedLength(StreamingHttpRequest request) {
        CharSequence text = request.headers().get("content-length");
        try {
            return text == null
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(text.toString().trim()));
        } catch (NumberFormatException unreadable) {
            // The library refuses such a request; until then it counts as one without a length.
            return OptionalLong.empty();
        }
    }

    /** Gives the body up if it still waits for memory. The rest of it is dropped. */
    void giveUpWaiting() {
        if (!granted) {
            givenUp = true;
            reservation.release();
            subscription.request(Long.MAX_VALUE);
        }
    }

    /** Gives the memory of the body back; it must not be used afterwards. */
    void release() {
        if (reservation != null) {
            reservation.release();
        }
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription newSubscription) {
        subscription = newSubscription;
        if (statedLength.isPresent() && statedLength.getAsLong() > limit) {
            tooLong = true;
            subscription.request(Long.MAX_VALUE);
        } else if (statedLength.isPresent() && statedLength.getAsLong() > SMALL_BYTES) {
            reserve(statedLength.getAsLong());
        } else if (statedLength.isPresent()) {
            subscription.request(Long.MAX_VALUE);
        } else {
            subscription.request(1);
        }
    }

    private void reserve(long bytes) {
        reservation = memory.reserve(bytes, this::onGranted);
        if (!granted) {
            listener.onBodyWaiting();
        }
    }

    private void onGranted() {
        granted = true;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(Buffer buffer) {
        int length = buffer.readableBytes();
        received += length;
        tooLong |= received > limit;
        if (tooLong || givenUp) {
            parts.clear();
        } else if (length > 0) {
            byte[] part = new byte[length];
            buffer.readBytes(part);
            parts.add(part);
        }
        boolean mayReadOn = statedLength.isPresent() || granted || givenUp;
        if (mayReadOn) {
            return;
        }
        if (received <= SMALL_BYTES) {
            subscription.request(1);
        } else if (reservation == null) {
            reserve(limit);
        }
    }

    @Override
    public void onError(Throwable failure) {
        release();
        listener.onBodyFailed();
    }

    @Override
    public void onComplete() {
        if (reservation != null) {
            reservation.shrink(received);
        }
        if (tooLong) {
            listener.onBodyTooLong();
        } else if (givenUp) {
            listener.onBodyGivenUp();
        } else {
            HttpBody body = HttpBody.of(parts);
            // The timer that gives up waiting bodies may keep this object after the reservation
            // of the body has been released.
            parts.clear();
            listener.onBodyReceived(body);
        }
    }
}
