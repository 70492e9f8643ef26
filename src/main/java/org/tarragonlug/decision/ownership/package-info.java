/** Decision on which instance may give orders to backend servers. */
package org.tarragonlug.decision.ownership;
