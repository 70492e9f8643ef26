/** The typed errors of the system. */
package org.tarragonlug.error;
