package org.tarragonlug.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Collects a whole answer. */
final class CollectingReceiver implements HttpReceiver {
    private final CompletableFuture<HttpAnswer> result;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    CollectingReceiver(CompletableFuture<HttpAnswer> result) {
        this.result = result;
    }

    @Override
    public void head(int answerStatus, Map<String, String> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    @Override
    public void data(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public void completed() {
        result.complete(new HttpAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void failed(HttpFailure failure) {
        result.completeExceptionally(failure);
    }
}
