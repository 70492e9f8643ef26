/**
 * The process that serves callers on the users' platform: it connects the edges with the decisions
 * on forwarded requests, placement and ownership.
 */
package org.tarragonlug.gateway;
