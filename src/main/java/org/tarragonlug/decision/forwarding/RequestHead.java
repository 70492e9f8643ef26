package org.tarragonlug.decision.forwarding;

import org.tarragonlug.decision.account.Credential;

/**
 * The properties of a request that are known before its body has been read.
 *
 * @param key number of the request, unique within the process
 * @param host host that the request names, without port
 * @param path path without query
 * @param credential what the request states about its account
 */
public record RequestHead(long key, String host, String path, Credential credential) {}
