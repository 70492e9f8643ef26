package org.tarragonlug.decision.configuration;

/** The kind of target that a route sends requests to. */
public enum RouteTarget {
    /** A pool of models on model engines. */
    POOL,
    /** A plain service; requests are forwarded to it unchanged. */
    SERVICE
}
