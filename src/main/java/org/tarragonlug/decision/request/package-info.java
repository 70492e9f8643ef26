/** Routing, admission, waiting, attempts, retries, claims and quarantine. Pure. */
package org.tarragonlug.decision.request;
