/** The edge to the instance list of the platform. */
package org.tarragonlug.instancelist;
