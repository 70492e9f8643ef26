/**
 * Finds what the requests that crash backend servers have in common, and keeps such requests from
 * further servers. The package decides and does no I/O: the gateway drives it, and the forwarding
 * coordinator applies the result.
 */
package org.tarragonlug.decision.quarantine;
