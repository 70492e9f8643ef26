package org.tarragonlug.platform;

/** Paths that the platform calls on an instance. */
public final class PlatformPaths {
    /** Asked once a second; only 200 keeps the instance in rotation. */
    public static final String READINESS = "/tarragonlug/ready";

    private PlatformPaths() {}
}
