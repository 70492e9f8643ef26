/** Small stand-ins for the outside systems, as HTTP servers on loopback. */
package org.tarragonlug.standin;
