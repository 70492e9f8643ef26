package org.tarragonlug.instance;

import org.tarragonlug.decision.request.RequestEvent;

/** Receives the answers of the claim store, as events of the request coordinator. */
@FunctionalInterface
interface ClaimListener {
    /** Called on the event loop. */
    void onClaimEvent(RequestEvent event);
}
