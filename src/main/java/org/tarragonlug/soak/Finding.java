package org.tarragonlug.soak;

import org.tarragonlug.id.RequestId;

/**
 * A check that failed.
 *
 * @param check the check
 * @param id the request; {@link #NO_REQUEST} if the finding concerns none
 * @param text what was seen
 */
record Finding(Check check, RequestId id, String text) {
    /** Stands for no request. */
    static final RequestId NO_REQUEST = new RequestId("none");
}
