package org.tarragonlug.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tarragonlug.decision.request.AttemptFailure;

/**
 * Records the tokens and the end of a generation. The end is "done" or the failure. A token with a
 * wrong offset, a token after the end and a second end are recorded as a violation.
 */
final class RecordingListener implements GenerationListener {
    final List<String> tokens = new ArrayList<>();
    final CompletableFuture<Object> end = new CompletableFuture<>();
    private final int firstOffset;
    volatile Throwable violation;
    volatile String checksum = "";

    RecordingListener(int firstOffset) {
        this.firstOffset = firstOffset;
    }

    @Override
    public synchronized void onToken(int offset, String text) {
        if (end.isDone() || offset != firstOffset + tokens.size()) {
            violation = new AssertionError("token " + offset + " after " + tokens.size());
        }
        tokens.add(text);
    }

    @Override
    public void onCompleted(int count, String answerChecksum) {
        checksum = answerChecksum;
        end("done");
    }

    @Override
    public void onFailed(AttemptFailure failure, String detail) {
        end(failure);
    }

    private void end(Object result) {
        if (!end.complete(result)) {
            violation = new AssertionError("ended twice: " + result);
        }
    }

    synchronized int count() {
        return tokens.size();
    }
}
