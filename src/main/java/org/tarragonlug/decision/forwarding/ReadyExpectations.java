package org.tarragonlug.decision.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/** When the planner expects models to be ready that no server holds. */
final class ReadyExpectations {
    private final Map<ServiceName, Map<ModelKey, Instant>> readyTimes = new HashMap<>();

    void record(ForwardingEvent.ModelReadyExpected expected) {
        readyTimes
                .computeIfAbsent(expected.service(), each -> new HashMap<>())
                .put(expected.key(), expected.ready());
    }

    /** Returns the last announced time; empty if none was announced. */
    Optional<Instant> find(ServiceName service, ModelKey key) {
        return Optional.ofNullable(readyTimes.getOrDefault(service, Map.of()).get(key));
    }
}
