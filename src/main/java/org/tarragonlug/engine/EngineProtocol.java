package org.tarragonlug.engine;

/** Names in the HTTP protocol of model engines. */
public final class EngineProtocol {
    /** Header that names the attempt, so that it can be cancelled. */
    public static final String ATTEMPT_HEADER = "x-attempt-id";

    /** Header with the number of tokens to skip, because the caller has them. */
    public static final String RESUME_HEADER = "x-resume-offset";

    /** Header with the milliseconds left until the caller's deadline. */
    public static final String REMAINING_HEADER = "x-remaining-ms";

    /** Header with the priority, a name of {@link org.tarragonlug.decision.Priority}. */
    public static final String PRIORITY_HEADER = "x-priority";

    /** Last server-sent event of a whole answer. */
    public static final String END_OF_STREAM = "[DONE]";

    /** Error code: too many requests; nothing ran. */
    public static final String OVERLOADED = "overloaded";

    /** Error code: the server is about to stop; nothing ran. */
    public static final String LEAVING = "leaving";

    /** Error code: the artifact is not loaded; nothing ran. */
    public static final String NOT_LOADED = "not_loaded";

    /** Error code: the request or order itself is at fault; nothing ran. */
    public static final String INVALID_REQUEST = "invalid_request";

    /** Error code of an order: a higher fencing number was seen. */
    public static final String OLD_FENCE = "old_fence";

    /** Error code of an order: the artifact does not fit. */
    public static final String OUT_OF_MEMORY = "out_of_memory";

    /** Error code of an order: the load failed. */
    public static final String LOAD_FAILED = "load_failed";

    /** Error code of an order: the artifact has requests in progress or adapters. */
    public static final String IN_USE = "in_use";

    private EngineProtocol() {}
}
