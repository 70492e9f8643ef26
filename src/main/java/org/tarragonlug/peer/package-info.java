/** The edge to the other processes of this system. */
package org.tarragonlug.peer;
