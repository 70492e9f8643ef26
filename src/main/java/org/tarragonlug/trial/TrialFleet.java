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
import org.tarragonlug.standin.StandInPlatform;

/** The entry instances of a trial, all in this process. */
public final class TrialFleet implements AutoCloseable {
    private static final int MAXIMUM_START_ATTEMPTS = 5;

    /** How long the load balancer goes on sending to an instance that drains. */
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
     * @param ioExecutor runs all connections; not closed here
     * @param adminExecutor runs admin connections; not closed here
     * @param seed seeds the random decisions of the instances
     */
    public TrialFleet(
            StandInPlatform platform, IoExecutor ioExecutor, IoExecutor adminExecutor, long seed) {
        this.platform = platform;
        this.ioExecutor = ioExecutor;
        this.adminExecutor = adminExecutor;
        this.seed = seed;
    }

    /**
     * Starts one more instance and lists it.
     *
     * @param number from 1
     * @return the running instance
     * @throws TarragonlugException if no address could be bound
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
                // Another process may have taken the free port in the meantime.
                if (failure.code() != ErrorCode.ADDRESS_IN_USE || attempt >= MAXIMUM_START_ATTEMPTS) {
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
     * @return whether they are
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

    /** Returns the running instances. */
    public List<EntryInstance> instances() {
        return List.copyOf(instances);
    }

    /**
     * Returns where a load balancer would send a request: the ready instances, and those that began
     * to drain so recently that the balancer has not noticed.
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

    /** Stops an instance at once, as a crash would, without removing it from the instance list. */
    public void kill(EntryInstance instance) {
        instances.remove(instance);
        stopped.add(instance);
        killTimes.put(instance.callerAddress(), System.nanoTime());
        instance.stop();
    }

    /**
     * Drains an instance; soon after, nothing is sent to it. When the drain has ended, {@link
     * #retire} stops it.
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

    /** Tells whether the instance at an address was killed after the given time. */
    boolean wasKilledAfter(InetSocketAddress address, long nanos) {
        Long killedAt = killTimes.get(address);
        return killedAt != null && killedAt - nanos >= 0;
    }

    /** Returns the name of the instance at an address, also if it was stopped. */
    String describe(InetSocketAddress address) {
        return instanceNames.getOrDefault(address, "unknown") + " at " + address;
    }

    /** Returns the violations found in all instances that ever ran. */
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
