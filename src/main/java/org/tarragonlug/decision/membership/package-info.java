/** Failure detection, the member view and ownership. Pure. */
package org.tarragonlug.decision.membership;
