package org.tarragonlug.decision.capacity;

/** Why an artifact that is wanted gets no replica, or no further one, at the moment. */
public enum CapacityRefusal {
    /** No pool of the group lists the artifact. */
    NOT_IN_ANY_POOL("no pool of this server group lists the artifact"),
    /** The pool's maximum number of replicas is decided already. */
    MAXIMUM_REPLICAS("the pool's maximum number of replicas is reached"),
    /** No active server has room, and nothing idle can be unloaded to make room. */
    NO_MEMORY("no active server has room and nothing idle can be unloaded"),
    /** An adapter's base model cannot be made ready. */
    BASE_MODEL_UNAVAILABLE("the base model cannot be made ready on any server"),
    /** The last load failed; it is tried again while the artifact is wanted. */
    LOAD_FAILED("the last load failed and is being tried again"),
    /** The object API is down and no standby slot of a live holder covers the artifact. */
    OUTAGE("the object API is down and no standby slot covers the artifact"),
    /** The object API is down and the covering standby slot is occupied by another artifact. */
    STANDBY_OCCUPIED("the object API is down and the standby slot is in use");

    private final String text;

    CapacityRefusal(String text) {
        this.text = text;
    }

    /** Returns the wording used on the status page. */
    public String text() {
        return text;
    }
}
