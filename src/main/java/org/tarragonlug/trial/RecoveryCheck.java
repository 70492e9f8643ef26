package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.tarragonlug.instance.EntryInstance;

/**
 * Checks that every model is served again within 15 s after the last fault, and that every instance
 * has the newest tables by then. A request without a successful answer is sent again after a pause,
 * as callers do after a refusal with a retry time.
 */
final class RecoveryCheck {
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration SHORTEST_TIMEOUT = Duration.ofSeconds(1);
    private static final long PAUSE_MILLIS = 250;
    private static final long STEP_MILLIS = 20;

    private final TrialFleet fleet;
    private final ModelSender sender;
    private final Set<String> models;
    private final Consumer<String> problems;
    private final Map<String, TrialOutcome> outcomes = new ConcurrentHashMap<>();
    private final Map<String, Long> nextSendNanos = new HashMap<>();
    private final Set<String> inProgress = ConcurrentHashMap.newKeySet();
    private final Set<EntryInstance> updatedInstances = ConcurrentHashMap.newKeySet();
    private int sentCount;

    /** Sends a request for a model. */
    @FunctionalInterface
    interface ModelSender {
        /** Sends the request and passes its outcome to {@code atEnd}. */
        void send(
                EntryInstance instance,
                String model,
                Duration timeout,
                Consumer<TrialOutcome> atEnd);
    }

    /**
     * Creates the check.
     *
     * @param fleet the entry instances
     * @param sender sends the requests
     * @param models names of the models that must be served
     * @param problems receives the models and instances that have not recovered in time
     */
    RecoveryCheck(
            TrialFleet fleet, ModelSender sender, Set<String> models, Consumer<String> problems) {
        this.fleet = fleet;
        this.sender = sender;
        this.models = new TreeSet<>(models);
        this.problems = problems;
    }

    /**
     * Sends requests until all models are served and all instances have the newest tables, or until
     * the time limit is reached.
     *
     * @param rate the rate of each route in the newest tables
     * @param step called repeatedly during the check
     */
    void run(int rate, Runnable step) throws InterruptedException {
        long end = System.nanoTime() + LIMIT.toNanos();
        long nextRateCheck = 0;
        while (System.nanoTime() < end
                && !(unservedModels().isEmpty() && outdatedInstances().isEmpty())) {
            step.run();
            long now = System.nanoTime();
            if (end - now > SHORTEST_TIMEOUT.toNanos()) {
                sendDueRequests(now, end);
            }
            if (now - nextRateCheck > 0) {
                checkRates(rate);
                nextRateCheck = now + PAUSE_MILLIS * 1_000_000;
            }
            Thread.sleep(STEP_MILLIS);
        }
        for (String model : unservedModels()) {
            problems.accept(
                    model
                            + " not served within "
                            + LIMIT
                            + " after the last fault, last outcome "
                            + outcomes.get(model));
        }
        for (EntryInstance instance : outdatedInstances()) {
            problems.accept(
                    instance.name()
                            + " does not have the newest tables "
                            + LIMIT
                            + " after the edit");
        }
    }

    private List<String> unservedModels() {
        return models.stream().filter(m -> outcomes.get(m) != TrialOutcome.ANSWERED).toList();
    }

    private List<EntryInstance> outdatedInstances() {
        return fleet.instances().stream().filter(i -> !updatedInstances.contains(i)).toList();
    }

    private void sendDueRequests(long now, long end) {
        List<EntryInstance> receivers = new ArrayList<>(fleet.balancerTargets());
        for (String model : unservedModels()) {
            boolean due = now - nextSendNanos.getOrDefault(model, now) >= 0;
            if (receivers.isEmpty() || !due || !inProgress.add(model)) {
                continue;
            }
            Duration left = Duration.ofNanos(end - now);
            Duration timeout = left.compareTo(REQUEST_TIMEOUT) < 0 ? left : REQUEST_TIMEOUT;
            nextSendNanos.put(model, now + PAUSE_MILLIS * 1_000_000);
            EntryInstance instance = receivers.get(sentCount % receivers.size());
            sentCount++;
            sender.send(
                    instance,
                    model,
                    timeout,
                    outcome -> {
                        outcomes.put(model, outcome);
                        inProgress.remove(model);
                    });
        }
    }

    private void checkRates(int expectedRate) {
        for (EntryInstance instance : fleet.instances()) {
            instance.state()
                    .thenAccept(
                            state -> {
                                JsonNode routes = state.path("configuration").path("routes");
                                int present = rate(routes);
                                if (present == expectedRate) {
                                    updatedInstances.add(instance);
                                }
                            });
        }
    }

    private static int rate(JsonNode routes) {
        JsonNode list = routes.has("routes") ? routes.path("routes") : routes;
        return list.path(0).path(RacingOperators.RATE_FIELD).asInt();
    }
}
