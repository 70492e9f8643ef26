package org.tarragonlug.http;

import java.util.Map;

/**
 * A complete HTTP answer.
 *
 * @param status HTTP status
 * @param headers headers with names in lower case; a repeated header has its last value
 * @param body the body; not copied
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {}
