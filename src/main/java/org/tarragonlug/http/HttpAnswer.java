package org.tarragonlug.http;

import java.util.Map;

/**
 * A whole HTTP answer.
 *
 * @param status HTTP status
 * @param headers headers, names in lower case; of a repeated header the last value
 * @param body the body; not copied
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {}
