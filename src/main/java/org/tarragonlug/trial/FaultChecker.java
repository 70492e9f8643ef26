package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.standin.HeldReplica;
import org.tarragonlug.standin.StandInPlatform;

/**
 * Checks during a run that the capacity record has a slot for each replica and that no instance
 * reverts to an older configuration.
 *
 * <p>The engines and the record cannot be read at the same moment. A replica that was held
 * continuously from before until after the record was read must have a slot in the record, because
 * the decider writes a slot before it orders the load and removes the slot only after the unload.
 */
final class FaultChecker {
    private final StandInPlatform platform;
    private final TrialFleet fleet;
    private final Consumer<String> problems;
    private final Map<EntryInstance, Long> lastVersions = new ConcurrentHashMap<>();

    FaultChecker(StandInPlatform platform, TrialFleet fleet, Consumer<String> problems) {
        this.platform = platform;
        this.fleet = fleet;
        this.problems = problems;
    }

    /** Reports replicas on the engines that have no slot in the capacity record. */
    void checkReplicas() {
        Set<HeldReplica> heldReplicas = platform.recorder().heldReplicas();
        String group = platform.deployment().engineGroup().value();
        JsonNode record = platform.objectApi().peek(new ObjectName("capacity", group)).content();
        heldReplicas.retainAll(platform.recorder().heldReplicas());
        Set<String> recordedReplicas = recordedReplicas(record);
        for (HeldReplica replica : heldReplicas) {
            if (!recordedReplicas.contains(
                    replicaKey(replica.server() + "", replica.artifact() + ""))) {
                problems.accept(
                        "no slot for "
                                + replica.artifact()
                                + " on "
                                + replica.server()
                                + " in the capacity record of revision "
                                + record.path("revision").asLong());
            }
        }
    }

    /**
     * Returns the replicas that the record allows. A standby slot allows each artifact of its list,
     * because its holder can fill the slot during an outage without writing the record.
     */
    private static Set<String> recordedReplicas(JsonNode record) {
        Set<String> replicaKeys = new HashSet<>();
        for (JsonNode slot : record.path("slots")) {
            replicaKeys.add(
                    replicaKey(slot.path("server").asText(), slot.path("artifact").asText()));
        }
        for (JsonNode standby : record.path("standbySlots")) {
            for (JsonNode artifact : standby.path("artifacts")) {
                replicaKeys.add(replicaKey(standby.path("server").asText(), artifact.asText()));
            }
        }
        return replicaKeys;
    }

    private static String replicaKey(String server, String artifact) {
        return server + " " + artifact;
    }

    /** Reports instances whose configuration version is lower than at the previous check. */
    void checkVersions() {
        for (EntryInstance instance : fleet.instances()) {
            instance.state()
                    .thenAccept(
                            state ->
                                    checkVersion(
                                            instance,
                                            state.path("configuration").path("version").asLong()));
        }
    }

    private void checkVersion(EntryInstance instance, long version) {
        Long last = lastVersions.put(instance, version);
        if (last != null && last > version) {
            problems.accept(
                    instance.name()
                            + " reverted from configuration version "
                            + last
                            + " to "
                            + version);
        }
    }
}
