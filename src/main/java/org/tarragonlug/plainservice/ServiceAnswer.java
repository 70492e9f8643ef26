package org.tarragonlug.plainservice;

import java.util.Map;

/**
 * The answer of a plain service.
 *
 * @param status HTTP status
 * @param headers headers to pass on to the caller, names in lower case
 * @param body the body; not copied
 */
public record ServiceAnswer(int status, Map<String, String> headers, byte[] body) {}
