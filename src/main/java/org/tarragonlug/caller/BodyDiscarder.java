package org.tarragonlug.caller;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;

/**
 * Reads the body of a request that has been answered already, and drops it.
 *
 * <p>A body that stays unread would reset the connection when it is closed, and the caller could
 * lose the answer. A caller that sends on without end is given up.
 */
final class BodyDiscarder implements PublisherSource.Subscriber<Buffer> {
    private final Runnable onGivenUp;
    private long remaining;
    private boolean ended;
    private PublisherSource.Subscription subscription;

    /**
     * Creates a discarder.
     *
     * @param longestBody bytes that are read at most
     * @param onGivenUp called if the body is longer, or does not end in time
     */
    BodyDiscarder(long longestBody, Runnable onGivenUp) {
        this.remaining = longestBody;
        this.onGivenUp = onGivenUp;
    }

    /** Gives the body up if it has not ended. */
    void giveUp() {
        if (!ended) {
            ended = true;
            onGivenUp.run();
        }
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription newSubscription) {
        subscription = newSubscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(Buffer buffer) {
        remaining -= buffer.readableBytes();
        if (remaining < 0) {
            giveUp();
        }
    }

    @Override
    public void onError(Throwable failure) {
        ended = true;
    }

    @Override
    public void onComplete() {
        ended = true;
    }
}
