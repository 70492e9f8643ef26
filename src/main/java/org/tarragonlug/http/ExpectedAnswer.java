package org.tarragonlug.http;

import java.util.function.Consumer;

/**
 * Tells the answer to a call from late answers to other calls on the same connection.
 *
 * @param header name of the header with which an answer names its call
 * @param value what that header contains in the answer to this call
 * @param skippedAction receives each answer that was skipped because it names another call
 */
public record ExpectedAnswer(String header, String value, Consumer<SkippedAnswer> skippedAction) {}
