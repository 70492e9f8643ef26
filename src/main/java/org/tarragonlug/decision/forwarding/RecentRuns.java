package org.tarragonlug.decision.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.id.ServerIncarnation;

/**
 * A map of runs of servers that forgets the oldest one when it is full. It has room for many times
 * the servers of one deployment.
 */
final class RecentRuns<T> extends LinkedHashMap<ServerIncarnation, T> {
    private static final long serialVersionUID = 1L;

    private static final int MAX_RUNS = 16 * 1024;

    @Override
    protected boolean removeEldestEntry(Map.Entry<ServerIncarnation, T> eldest) {
        return size() > MAX_RUNS;
    }
}
