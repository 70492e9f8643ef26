package org.tarragonlug.platform;

/** HTTP paths that the platform requests from an instance. */
public final class PlatformPaths {
    /** Readiness check, once per second. The instance stays in rotation only if it answers 200. */
    public static final String READINESS = "/tarragonlug/ready";

    private PlatformPaths() {}
}
