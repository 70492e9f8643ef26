package org.tarragonlug.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tarragonlug.decision.request.AttemptFailure;

/** Records a generation; its end is "done" or the failure. A second end fails the test. */
final class RecordingListener implements GenerationListener {
    final List<String> tokens = new ArrayList<>();
    final CompletableFuture<Object> end = new CompletableFuture<>();
    private final int firstOffset;
    volatile Throwable wrong;
    volatile String checksum = "";

    RecordingListener(int firstOffset) {
        this.firstOffset = firstOffset;
    }

    @Override
    public synchronized void token(int offset, String text) {
        if (end.isDone() || offset != firstOffset + tokens.size()) {
            wrong = new AssertionError("token " + offset + " after " + tokens.size());
        }
        tokens.add(text);
    }

    @Override
    public void completed(int count, String answerChecksum) {
        checksum = answerChecksum;
        end("done");
    }

    @Override
    public void failed(AttemptFailure failure, String detail) {
        end(failure);
    }

    private void end(Object how) {
        if (!end.complete(how)) {
            wrong = new AssertionError("ended twice: " + how);
        }
    }

    synchronized int count() {
        return tokens.size();
    }
}
