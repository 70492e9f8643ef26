package org.tarragonlug.soak;

import org.tarragonlug.id.RequestId;

/**
 * A send whose connection ended without a whole answer. Times are milliseconds of one clock.
 *
 * @param id the request
 * @param gateway number of the gateway to which it was sent
 * @param sentMillis when it was sent
 * @param endMillis when the connection ended
 */
record UnansweredRequest(RequestId id, int gateway, long sentMillis, long endMillis) {}
