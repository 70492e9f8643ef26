package org.tarragonlug.decision.request;

/** State of a claim stored in the object API. */
public enum ClaimState {
    /** Its holder may have sent the request. */
    STARTED,
    /** The request ran; its answer is recorded. */
    DONE,
    /** The request was not sent; the claim may be taken again. */
    RELEASED
}
