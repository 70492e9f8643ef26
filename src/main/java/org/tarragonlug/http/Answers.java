package org.tarragonlug.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.tarragonlug.error.TarragonlugException;

/** Converts HTTP answers to typed results and HTTP failures to typed errors. */
public final class Answers {
    private Answers() {}

    /**
     * Converts the outcome of a call.
     *
     * @param stage the answer or an {@link HttpFailure}
     * @param reader converts the answer; its unchecked exceptions mean that the answer is malformed
     * @param failure converts a failure to a typed error; also called for a malformed answer
     * @param <T> type of the result
     * @return the result; fails with the typed error itself, not wrapped in another exception
     */
    public static <T> CompletionStage<T> read(
            CompletionStage<HttpAnswer> stage,
            AnswerReader<T> reader,
            Function<HttpFailure, TarragonlugException> failure) {
        CompletableFuture<T> result = new CompletableFuture<>();
        stage.whenComplete(
                (answer, cause) -> {
                    if (cause != null) {
                        result.completeExceptionally(failure.apply(asFailure(cause)));
                        return;
                    }
                    try {
                        result.complete(reader.read(answer));
                    } catch (TarragonlugException e) {
                        result.completeExceptionally(e);
                    } catch (RuntimeException e) {
                        result.completeExceptionally(failure.apply(malformedAnswer(e)));
                    }
                });
        return result;
    }

    /** Returns the cause if it is an HTTP failure, otherwise a {@code CONNECTION_LOST} with it. */
    public static HttpFailure asFailure(Throwable cause) {
        if (cause instanceof HttpFailure failure) {
            return failure;
        }
        return new HttpFailure(HttpFailure.Kind.CONNECTION_LOST, cause.toString(), cause);
    }

    /** Returns an {@code ANSWER_INVALID} failure for an answer whose conversion failed. */
    public static HttpFailure malformedAnswer(RuntimeException cause) {
        String detail = "the answer is malformed: " + cause.getMessage();
        return new HttpFailure(HttpFailure.Kind.ANSWER_INVALID, detail, cause);
    }
}
