/**
 * Failure detection, the member view and ownership. The code is pure: it does no I/O and reads no
 * clock.
 */
package org.tarragonlug.decision.membership;
