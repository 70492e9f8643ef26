package org.tarragonlug.http;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.CompletableSource;

/**
 * Ignores whether the release or close of a connection succeeded, because nothing depends on it.
 */
enum IgnoredCompletion implements CompletableSource.Subscriber {
    INSTANCE;

    @Override
    public void onSubscribe(Cancellable cancellable) {}

    @Override
    public void onComplete() {}

    @Override
    public void onError(Throwable cause) {}
}
