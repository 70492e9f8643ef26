package org.tarragonlug.http;

import org.tarragonlug.error.TarragonlugException;

/**
 * Converts an HTTP answer to a typed result. An implementation may throw an unchecked exception for
 * a malformed answer.
 *
 * @param <T> type of the result
 */
@FunctionalInterface
public interface AnswerReader<T> {
    /**
     * Converts an answer.
     *
     * @throws TarragonlugException if the server reports an error
     */
    T read(HttpAnswer answer) throws TarragonlugException;
}
