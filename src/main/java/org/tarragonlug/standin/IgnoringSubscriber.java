package org.tarragonlug.standin;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.CompletableSource;

/** Ignores the result of closing a connection or server. */
final class IgnoringSubscriber implements CompletableSource.Subscriber {
    @Override
    public void onSubscribe(Cancellable cancellable) {}

    @Override
    public void onComplete() {}

    @Override
    public void onError(Throwable cause) {}
}
