/** HTTP client handling shared by the edges: connection pools, time limits, failure kinds. */
package org.tarragonlug.http;
