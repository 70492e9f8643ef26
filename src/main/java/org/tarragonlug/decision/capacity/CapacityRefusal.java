package org.tarragonlug.decision.capacity;

/** Why an artifact in demand currently gets no replica, or no further one. */
public enum CapacityRefusal {
    /** No pool of the group lists the artifact. */
    NOT_IN_ANY_POOL(
            "no pool of this server group lists the artifact", "add it to the artifacts of a pool"),
    /** The maximum number of replicas of the pool is already decided. */
    MAXIMUM_REPLICAS(
            "the pool's maximum number of replicas is reached",
            "raise maximumReplicas of the artifact if one more is worth its memory"),
    /**
     * No active server has enough free memory, and no idle artifact can be unloaded to free enough.
     */
    NO_MEMORY(
            "no active server has room and nothing idle can be unloaded",
            "add servers to the group or lower minimumReplicas of others"),
    /** The base model of an adapter cannot be made ready. */
    BASE_MODEL_UNAVAILABLE(
            "the base model cannot be made ready on any server",
            "see the base model in this status"),
    /** The last load failed. The load is retried as long as there is demand for the artifact. */
    LOAD_FAILED(
            "the last load failed and is being tried again",
            "see the log event order_ended and the engine"),
    /** The object API is down and no standby slot held by this process covers the artifact. */
    OUTAGE(
            "the object API is down and no standby slot covers the artifact",
            "wait for the object API; raise standbySlots of the pool for the next time"),
    /**
     * The object API is down and the standby slot that covers the artifact is occupied by another
     * artifact.
     */
    STANDBY_OCCUPIED(
            "the object API is down and the standby slot is in use",
            "wait for the object API; raise standbySlots of the pool for the next time");

    private final String text;
    private final String remedy;

    CapacityRefusal(String text, String remedy) {
        this.text = text;
        this.remedy = remedy;
    }

    /** Returns the action that an operator can take, as shown on the status page. */
    public String remedy() {
        return remedy;
    }

    /** Returns the reason in words, as shown on the status page. */
    public String text() {
        return text;
    }
}
