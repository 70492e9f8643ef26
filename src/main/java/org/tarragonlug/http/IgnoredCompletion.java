package org.tarragonlug.http;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.CompletableSource;

/** Ignores how a connection was released or closed; nothing depends on it. */
enum IgnoredCompletion implements CompletableSource.Subscriber {
    INSTANCE;

    @Override
    public void onSubscribe(Cancellable cancellable) {}

    @Override
    public void onComplete() {}

    @Override
    public void onError(Throwable cause) {}
}
