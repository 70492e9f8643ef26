package org.tarragonlug.trial;

import io.servicetalk.transport.api.IoExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.tarragonlug.decision.capacity.FencingKind;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.instance.EntryInstance;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.runtime.Settings;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.EngineFencing;
import org.tarragonlug.standin.FreePort;
import org.tarragonlug.standin.StandInPlatform;

/** The entry instances of a trial, which all run in this process. */
public final class TrialFleet implements AutoCloseable {
    private static final int MAXIMUM_START_ATTEMPTS = 5;

    /** Time until the load balancer stops sending requests to a draining instance. */
    private static final Duration BALANCER_LAG = Duration.ofSeconds(1);

    private static final ServerGroup ENTRY_GROUP = new ServerGroup("entry");

    private final StandInPlatform platform;
    private final IoExecutor ioExecutor;
    private final IoExecutor adminExecutor;
    private final long seed;
    private final List<EntryInstance> instances = new ArrayList<>();
    private final List<EntryInstance> stopped = new ArrayList<>();
    private final Map<InetSocketAddress, Long> killTimes = new ConcurrentHashMap<>();
    private final Map<EntryInstance, Long> drainTimes = new LinkedHashMap<>();
    private final Map<InetSocketAddress, String> instanceNames = new ConcurrentHashMap<>();

    /**
     * Creates an empty fleet.
     *
     * @param platform the outside systems
     * @param ioExecutor runs all connections; {@link #close} does not close it
     * @param adminExecutor runs admin connections; {@link #close} does not close it
     * @param seed seed of the random decisions of the instances
     */
    public TrialFleet(
            StandInPlatform platform, IoExecutor ioExecutor, IoExecutor adminExecutor, long seed) {
        this.platform = platform;
        this.ioExecutor = ioExecutor;
        this.adminExecutor = adminExecutor;
        this.seed = seed;
    }

    /**
     * Starts one more instance and adds it to the instance list.
     *
     * @param number number of the instance, from 1; part of its name
     * @return the running instance
     * @throws TarragonlugException if the instance can't be started, for example because its
     *     addresses were in use at each of five attempts
     */
    public EntryInstance start(int number) throws TarragonlugException {
        for (int attempt = 1; ; attempt++) {
            Settings settings = settings(number, FreePort.find());
            EntryInstance instance =
                    new EntryInstance(
                            settings,
                            ioExecutor,
                            adminExecutor,
                            seed + number,
                            (part, failure) -> {});
            try {
                instance.start();
            } catch (TarragonlugException failure) {
                instance.stop();
                // Another process may have taken the free port before the instance bound it.
                if (failure.code() != ErrorCode.ADDRESS_IN_USE
                        || attempt >= MAXIMUM_START_ATTEMPTS) {
                    throw failure;
                }
                continue;
            }
            instances.add(instance);
            instanceNames.put(instance.callerAddress(), instance.name());
            platform.instanceList().put(listedInstance(settings));
            return instance;
        }
    }

    private Settings settings(int number, InetSocketAddress peerAddress) {
        Deployment deployment = platform.deployment();
        List<FailureDomain> domains = deployment.failureDomains();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        FencingKind fencing =
                deployment.fencing() == EngineFencing.CHECKED
                        ? FencingKind.CHECKED
                        : FencingKind.IGNORED;
        Settings.Limits limits = Settings.Limits.DEFAULT;
        return new Settings(
                deployment.name(),
                new InstanceId("entry-" + number),
                domains.get(number % domains.size()),
                any,
                any,
                peerAddress,
                platform.objectApi().address(),
                platform.instanceList().address(),
                platform.weightStore().address(),
                List.of(),
                Map.of(deployment.engineGroup(), fencing),
                new Settings.Limits(
                        limits.bodyBytes(),
                        limits.headerBytes(),
                        limits.requestTime(),
                        limits.connections(),
                        Duration.ofSeconds(20)));
    }

    private static ListedInstance listedInstance(Settings settings) {
        return new ListedInstance(
                settings.instance().value(),
                InstanceKind.ENTRY,
                ENTRY_GROUP,
                settings.peerAddress(),
                settings.failureDomain(),
                false);
    }

    /**
     * Waits until all instances are ready.
     *
     * @param limit longest wait
     * @return false if an instance is still not ready when the limit is reached
     */
    public boolean awaitReady(Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < end) {
            if (instances.stream().allMatch(EntryInstance::ready)) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** Returns the started instances that have been neither killed nor drained. */
    public List<EntryInstance> instances() {
        return List.copyOf(instances);
    }

    /**
     * Returns the instances to which a load balancer sends requests: the ready instances, and those
     * that started to drain within the last second, because the balancer detects a drain late.
     */
    List<EntryInstance> balancerTargets() {
        long now = System.nanoTime();
        List<EntryInstance> result = new ArrayList<>();
        instances.stream().filter(EntryInstance::ready).forEach(result::add);
        drainTimes.forEach(
                (instance, since) -> {
                    if (now - since < BALANCER_LAG.toNanos()) {
                        result.add(instance);
                    }
                });
        return result;
    }

    /** Stops an instance at once, as a crash does. Its entry stays in the instance list. */
    public void kill(EntryInstance instance) {
        instances.remove(instance);
        stopped.add(instance);
        killTimes.put(instance.callerAddress(), System.nanoTime());
        instance.stop();
    }

    /**
     * Drains an instance. One second later, no more requests are sent to the instance. Call {@link
     * #retire} to stop the instance when the drain has ended.
     *
     * @return a stage that completes when the drain has ended
     */
    public CompletionStage<Void> drain(EntryInstance instance) {
        instances.remove(instance);
        stopped.add(instance);
        drainTimes.put(instance, System.nanoTime());
        platform.instanceList().markLeaving(instance.name());
        return instance.drain();
    }

    /** Stops an instance whose drain has ended and removes it from the instance list. */
    public void retire(EntryInstance instance) {
        instance.stop();
        platform.instanceList().remove(instance.name());
    }

    /** Returns whether the instance at an address was killed at or after a nano time. */
    boolean wasKilledAfter(InetSocketAddress address, long nanos) {
        Long killedAt = killTimes.get(address);
        return killedAt != null && killedAt - nanos >= 0;
    }

    /** Returns the name and address of an instance, even if the instance was stopped. */
    String describe(InetSocketAddress address) {
        return instanceNames.getOrDefault(address, "unknown") + " at " + address;
    }

    /** Returns the number of invariant violations in all instances, including stopped ones. */
    long violations() {
        return Stream.concat(instances.stream(), stopped.stream())
                .mapToLong(EntryInstance::violations)
                .sum();
    }

    @Override
    public void close() {
        instances.forEach(EntryInstance::stop);
        instances.clear();
    }
}
