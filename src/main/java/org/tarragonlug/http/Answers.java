package org.tarragonlug.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.tarragonlug.error.TarragonlugException;

/** Turns HTTP answers into typed results and failures into typed errors. */
public final class Answers {
    private Answers() {}

    /**
     * Converts an answer.
     *
     * @param stage the answer or an {@link HttpFailure}
     * @param reader reads the answer; an unchecked exception means a malformed one
     * @param failure converts a failure, including a malformed answer
     * @param <T> what the answer holds
     * @return the result, or the typed error as the stage's own exception
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

    /** Returns the failure behind a failed call. */
    public static HttpFailure asFailure(Throwable cause) {
        if (cause instanceof HttpFailure failure) {
            return failure;
        }
        return new HttpFailure(HttpFailure.Kind.CONNECTION_LOST, cause.toString(), cause);
    }

    /** Returns the failure for an answer that cannot be read. */
    public static HttpFailure malformedAnswer(RuntimeException cause) {
        String detail = "the answer is malformed: " + cause.getMessage();
        return new HttpFailure(HttpFailure.Kind.ANSWER_INVALID, detail, cause);
    }
}
