/**
 * Explains from the logs of gateways what became of a request. Reads lines of {@code key=value}
 * pairs as {@link org.tarragonlug.runtime.EventLog} writes them; depends on nothing that runs.
 */
package org.tarragonlug.explain;
