/**
 * Routing, admission, waiting, attempts, retries, claims and quarantine of requests. This package
 * performs no I/O: it turns events into commands.
 */
package org.tarragonlug.decision.request;
