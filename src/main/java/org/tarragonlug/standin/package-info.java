/** Simple simulations of the outside systems, called stand-ins, as HTTP servers on loopback. */
package org.tarragonlug.standin;
