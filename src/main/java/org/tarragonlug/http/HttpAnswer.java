package org.tarragonlug.http;

import java.util.Map;

/**
 * A complete HTTP answer.
 *
 * @param status HTTP status
 * @param headers headers with names in lower case; of a repeated header only the last value is kept
 * @param body the body; not copied
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {}
