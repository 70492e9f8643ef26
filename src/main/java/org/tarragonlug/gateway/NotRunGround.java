package org.tarragonlug.gateway;

import java.util.Locale;

/** On what the statement to a caller rests that its request has not run and will not run. */
enum NotRunGround {
    /** The request was sent to no server. */
    NEVER_SENT,
    /** Sends were begun, and none was written. */
    NEVER_WRITTEN,
    /** Each server to which the request was written stated that it did not run it. */
    REJECTED,
    /**
     * A send may have reached a server that did not reject it, or two sends had the same
     * connection, so a copied rejection may have counted. The statement may be false: a defect.
     */
    UNPROVEN;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
