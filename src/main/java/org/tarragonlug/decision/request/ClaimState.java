package org.tarragonlug.decision.request;

/** State of a claim stored in the object API. */
public enum ClaimState {
    /** The process that created the claim may have sent the request. */
    STARTED,
    /** The request ran, and its answer is recorded in the claim. */
    DONE,
    /** The request was not sent. Another request may take over the claim. */
    RELEASED
}
