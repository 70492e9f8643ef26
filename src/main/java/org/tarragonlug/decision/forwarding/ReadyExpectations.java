package org.tarragonlug.decision.forwarding;

import java.time.Duration;
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

    /** Tells whether the planner expects the model to be ready at a time that is not over. */
    boolean isExpected(ServiceName service, ModelKey key, Instant now) {
        return find(service, key).filter(now::isBefore).isPresent();
    }

    /** Returns how long a model still takes, if a request does not wait that long for it. */
    Optional<Duration> delayBeyond(
            Instant patienceEnd, ServiceName service, ModelKey key, Instant now) {
        return find(service, key)
                .filter(ready -> ready.isAfter(patienceEnd) && now.isBefore(ready))
                .map(ready -> Duration.between(now, ready));
    }
}
