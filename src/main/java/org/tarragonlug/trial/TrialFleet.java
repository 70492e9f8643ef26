package org.tarragonlug.trial;

import io.servicetalk.transport.api.IoExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
    private static final int START_TRIES = 5;
    private static final ServerGroup ENTRY_GROUP = new ServerGroup("entry");

    private final StandInPlatform platform;
    private final IoExecutor ioExecutor;
    private final IoExecutor adminExecutor;
    private final long seed;
    private final List<EntryInstance> instances = new ArrayList<>();

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
                if (failure.code() != ErrorCode.ADDRESS_IN_USE || attempt >= START_TRIES) {
                    throw failure;
                }
                continue;
            }
            instances.add(instance);
            platform.instanceList().put(listed(settings));
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

    private static ListedInstance listed(Settings settings) {
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

    /** Stops an instance at once, as a crash would, without removing it from the instance list. */
    public void kill(EntryInstance instance) {
        instances.remove(instance);
        instance.stop();
    }

    @Override
    public void close() {
        instances.forEach(EntryInstance::stop);
        instances.clear();
    }
}
