/** Replicas, server memory, placement, load ordering and keep-warm decisions. Pure. */
package org.tarragonlug.decision.capacity;
