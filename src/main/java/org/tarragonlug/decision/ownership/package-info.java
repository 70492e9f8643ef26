/** Decides which instance may give orders to which backend servers. */
package org.tarragonlug.decision.ownership;
