package org.tarragonlug.decision.watching;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * Selects the instances that watch the store for the others of their failure domain.
 *
 * <p>The calls to the store grow with the instances if each one watches, although all are told the
 * same. With few sources in each failure domain they grow with the failure domains, and what the
 * sources pass on does not leave its domain. A domain with few instances has no source, because
 * sources watch more often than others and would save nothing.
 *
 * <p>The planner selects the sources, since all instances report to it. Instances with more
 * processor time come first. A source stays selected while it reports, because each change makes
 * instances read the store themselves for a moment. Nothing depends on the selection: an instance
 * whose source fails, or that knows no source, watches the store itself.
 */
public final class WatchSourceSelector {
    /** Instances of one failure domain for each source. */
    static final int INSTANCES_PER_SOURCE = 20;

    /** Smallest number of instances in a failure domain with a source. */
    static final int MIN_INSTANCES = 6;

    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1500);

    private record Reporter(WatchCandidate candidate, Instant at) {}

    private final Map<InstanceId, Reporter> reporters = new LinkedHashMap<>();
    private final Map<FailureDomain, List<InstanceId>> selected = new HashMap<>();

    /** Records a report of an instance. */
    public void onReport(InstanceId from, WatchCandidate candidate, Instant now) {
        reporters.put(from, new Reporter(candidate, now));
    }

    /**
     * Returns the sources for the failure domain of an instance; empty if the instance is unknown
     * or its domain is too small.
     */
    public List<WatchSource> sourcesFor(InstanceId instance, Instant now) {
        Reporter reporter = reporters.get(instance);
        if (reporter == null) {
            return List.of();
        }
        FailureDomain domain = reporter.candidate().failureDomain();
        Map<InstanceId, WatchCandidate> alive = aliveIn(domain, now);
        List<InstanceId> sources = select(domain, alive);
        return sources.stream()
                .map(each -> new WatchSource(each, alive.get(each).address()))
                .toList();
    }

    private Map<InstanceId, WatchCandidate> aliveIn(FailureDomain domain, Instant now) {
        reporters.values().removeIf(each -> now.isAfter(each.at().plus(REPORT_VALIDITY)));
        Map<InstanceId, WatchCandidate> alive = new LinkedHashMap<>();
        reporters.forEach(
                (id, reporter) -> {
                    if (reporter.candidate().failureDomain().equals(domain)) {
                        alive.put(id, reporter.candidate());
                    }
                });
        return alive;
    }

    private List<InstanceId> select(FailureDomain domain, Map<InstanceId, WatchCandidate> alive) {
        List<InstanceId> sources = new ArrayList<>(selected.getOrDefault(domain, List.of()));
        sources.retainAll(alive.keySet());
        int count = (alive.size() + INSTANCES_PER_SOURCE - 1) / INSTANCES_PER_SOURCE;
        int wanted = alive.size() < MIN_INSTANCES ? 0 : count;
        while (sources.size() > wanted) {
            sources.remove(sources.size() - 1);
        }
        if (sources.size() < wanted) {
            addSources(sources, alive, wanted);
        }
        selected.put(domain, List.copyOf(sources));
        return sources;
    }

    private static void addSources(
            List<InstanceId> sources, Map<InstanceId, WatchCandidate> alive, int wanted) {
        Set<InstanceId> taken = sources.stream().collect(Collectors.toSet());
        alive.entrySet().stream()
                .filter(each -> !taken.contains(each.getKey()))
                .sorted(
                        Comparator.comparingDouble(
                                        (Map.Entry<InstanceId, WatchCandidate> each) ->
                                                -each.getValue().capacity())
                                .thenComparing(each -> each.getKey().value()))
                .limit(wanted - sources.size())
                .forEach(each -> sources.add(each.getKey()));
    }
}
