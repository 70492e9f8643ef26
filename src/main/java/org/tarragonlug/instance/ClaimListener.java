package org.tarragonlug.instance;

import org.tarragonlug.decision.request.RequestEvent;

/** Listener for results of the claim store, in the form of events of the request coordinator. */
@FunctionalInterface
interface ClaimListener {
    /** Called on the event loop with the result for one request. */
    void onClaimEvent(RequestEvent event);
}
