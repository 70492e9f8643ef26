/**
 * Sharing of what few instances read from the store with the others: which instances read, what
 * they pass on, and when the others read themselves. Depends on the JDK and the ids only; called by
 * the gateway's drivers.
 */
package org.tarragonlug.decision.watching;
