package org.tarragonlug.engine;

/** Names in the HTTP protocol of model engines. */
public final class EngineProtocol {
    /** Header with the id of the attempt, by which the attempt can be cancelled. */
    public static final String ATTEMPT_HEADER = "x-attempt-id";

    /** Header with the number of tokens to skip, because the caller already has them. */
    public static final String RESUME_HEADER = "x-resume-offset";

    /** Header with the milliseconds left until the caller's deadline. */
    public static final String REMAINING_HEADER = "x-remaining-ms";

    /** Header with the priority, a name of {@link org.tarragonlug.decision.Priority}. */
    public static final String PRIORITY_HEADER = "x-priority";

    /** Data of the last server-sent event of a complete answer. */
    public static final String END_OF_STREAM = "[DONE]";

    /** Error code: the engine has too many requests; the request did not run. */
    public static final String OVERLOADED = "overloaded";

    /** Error code: the server is about to stop; the request did not run. */
    public static final String LEAVING = "leaving";

    /** Error code: the artifact is not loaded; the request did not run. */
    public static final String NOT_LOADED = "not_loaded";

    /** Error code: the request or order is invalid; it did not run. */
    public static final String INVALID_REQUEST = "invalid_request";

    /** Error code of an order: the engine has already received a higher fencing token. */
    public static final String OLD_FENCE = "old_fence";

    /** Error code of an order: the artifact does not fit into the free memory. */
    public static final String OUT_OF_MEMORY = "out_of_memory";

    /** Error code of an order: the load failed. */
    public static final String LOAD_FAILED = "load_failed";

    /** Error code of an order: the artifact has requests in progress or loaded adapters. */
    public static final String IN_USE = "in_use";

    private EngineProtocol() {}
}
