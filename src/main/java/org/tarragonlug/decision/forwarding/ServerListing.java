package org.tarragonlug.decision.forwarding;

import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * What a server says of itself in the platform's list.
 *
 * @param id its id
 * @param service the service it belongs to
 * @param address {@code host:port}
 * @param failureDomain where it runs
 * @param slots requests it works on at once
 * @param state whether it takes new work
 * @param startedMillis Unix millisecond of its start; tells two starts under one id apart
 * @param models models that it holds, each with its adapters
 * @param inMemory models with a copy in its main memory
 * @param onDisk models with a copy on its disk
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
