/**
 * HTTP client code that the connectors to other systems share: connection pools, timeouts and kinds
 * of failure.
 */
package org.tarragonlug.http;
