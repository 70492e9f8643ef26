/** The edge to plain services. */
package org.tarragonlug.plainservice;
