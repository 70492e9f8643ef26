package org.tarragonlug.platform;

/** HTTP paths that the platform requests from an instance, and an instance from a server. */
public final class PlatformPaths {
    /** Readiness check, once per second. The instance stays in rotation only if it answers 200. */
    public static final String READINESS = "/tarragonlug/ready";

    /** Orders to a model server. */
    public static final String ORDER = "/tarragonlug/order";

    /** The state of a model server. */
    public static final String REPORT = "/tarragonlug/report";

    /** Reserves a slot at a model server. */
    public static final String RESERVE_SLOT = "/tarragonlug/hold-take";

    /** Releases a reserved slot, which follows as the last part of the path. */
    static final String RELEASE_SLOT = "/tarragonlug/hold-drop/";

    private PlatformPaths() {}
}
