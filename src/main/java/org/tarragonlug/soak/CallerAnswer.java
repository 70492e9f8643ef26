package org.tarragonlug.soak;

import java.util.Map;

/**
 * What a caller received as the answer to a request.
 *
 * @param status HTTP status
 * @param headers headers, names in lower case
 * @param body the received part of the body
 * @param complete whether the body ended as its framing says
 */
record CallerAnswer(int status, Map<String, String> headers, String body, boolean complete) {}
