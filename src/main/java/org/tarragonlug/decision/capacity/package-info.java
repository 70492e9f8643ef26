/**
 * Decisions on replicas, server memory, placement, load and unload orders, load tickets, and
 * keeping idle artifacts loaded. The code is pure: it does no input or output and does not read the
 * clock.
 */
package org.tarragonlug.decision.capacity;
