/** The edge to callers. */
package org.tarragonlug.caller;
