package org.tarragonlug.http;

import org.tarragonlug.error.TarragonlugException;

/**
 * Converts an answer; may throw an unchecked exception for a malformed one.
 *
 * @param <T> what the answer holds
 */
@FunctionalInterface
public interface AnswerReader<T> {
    /** Reads the answer or fails with what the server reported. */
    T read(HttpAnswer answer) throws TarragonlugException;
}
