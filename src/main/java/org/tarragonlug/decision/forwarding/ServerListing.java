package org.tarragonlug.decision.forwarding;

import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * A server's own entry in the platform's list.
 *
 * @param id id of the server
 * @param service service that the server belongs to
 * @param address address of the server, {@code host:port}
 * @param failureDomain failure domain in which the server runs
 * @param slots maximum number of requests that the server processes at the same time
 * @param state whether the server accepts new requests
 * @param startedMillis start time in Unix milliseconds; distinguishes two starts under one id
 * @param models loaded models, each with its loaded adapters
 * @param inMemory models with a copy in the server's main memory
 * @param onDisk models with a copy on the server's disk
 */
public record ServerListing(
        ServerId id,
        ServiceName service,
        String address,
        FailureDomain failureDomain,
        int slots,
        ListedState state,
        long startedMillis,
        Map<String, Set<String>> models,
        Set<String> inMemory,
        Set<String> onDisk) {}
