package org.tarragonlug.gateway;

import java.time.Instant;
import org.tarragonlug.caller.ForwardedCall;
import org.tarragonlug.decision.account.Credential;

/**
 * A request whose body is not read yet.
 *
 * @param call the call
 * @param credential what it states about its account
 * @param arrivedAt when its head arrived
 */
record OpenHead(ForwardedCall call, Credential credential, Instant arrivedAt) {}
