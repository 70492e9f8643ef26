package org.tarragonlug.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Collects the complete answer to a call in memory. */
final class CollectingReceiver implements HttpReceiver {
    private final CompletableFuture<HttpAnswer> result;
    private final BooleanSupplier maySend;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    CollectingReceiver(CompletableFuture<HttpAnswer> result, BooleanSupplier maySend) {
        this.result = result;
        this.maySend = maySend;
    }

    @Override
    public boolean maySend() {
        return maySend.getAsBoolean();
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    @Override
    public void onData(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public long heldBytes() {
        return body.size();
    }

    @Override
    public void onCompleted() {
        result.complete(new HttpAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailed(HttpFailure failure) {
        result.completeExceptionally(failure);
    }
}
