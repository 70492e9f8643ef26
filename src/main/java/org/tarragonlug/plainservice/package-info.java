/** HTTP client for plain services, to which requests are passed through. */
package org.tarragonlug.plainservice;
