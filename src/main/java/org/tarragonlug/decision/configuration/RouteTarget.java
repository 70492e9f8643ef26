package org.tarragonlug.decision.configuration;

/** What a route leads to. */
public enum RouteTarget {
    /** A pool of models on model engines. */
    POOL,
    /** A plain service, whose calls pass unchanged. */
    SERVICE
}
