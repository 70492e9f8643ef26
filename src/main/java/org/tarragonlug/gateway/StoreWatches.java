package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.tarragonlug.decision.watching.FollowedSource;
import org.tarragonlug.decision.watching.WatchLimits;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.TimerService;

/**
 * The watches of an instance on the platform's store: servers, configuration and quarantined
 * traits.
 *
 * <p>The servers and the configuration are asked for often enough to notice a silent connection in
 * time. The watch on the quarantine waits much longer; it begins anew when another watch is lost,
 * because their connections may have gone silent together.
 */
final class StoreWatches {
    private final WatchLimits limits;
    private final FollowedSource followedSource;
    private final BooleanSupplier urgent;
    private final ObjectApi store;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;
    private final Supplier<StoreEra> era;
    private final StoreWatcher servers;
    private final StoreWatcher configuration;
    private final StoreWatcher quarantine;

    /**
     * Who receives the objects of each kind.
     *
     * @param servers follows the listed servers
     * @param configuration follows the configuration
     * @param quarantine follows the quarantined traits
     */
    record Listeners(
            StoreWatcher.Listener servers,
            StoreWatcher.Listener configuration,
            StoreWatcher.Listener quarantine) {}

    /**
     * Creates watches that do nothing until they are started.
     *
     * @param store the platform's store
     * @param loop the event loop that owns the state
     * @param era the present era of the store
     * @param limits what the platform allows
     * @param followedSource the instance to watch through, if any
     * @param urgent whether this instance needs changes at once, because it plans or is not ready
     * @param listeners receive the objects
     */
    StoreWatches(
            ObjectApi store,
            Executor loop,
            TimerService timers,
            EventLog log,
            Supplier<StoreEra> era,
            WatchLimits limits,
            FollowedSource followedSource,
            BooleanSupplier urgent,
            Listeners listeners) {
        this.store = store;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.era = era;
        this.limits = limits;
        this.followedSource = followedSource;
        this.urgent = urgent;
        this.servers = watchOften(PlatformKinds.SERVERS, WatchPace.ALONE, listeners.servers());
        this.configuration =
                watchOften(
                        PlatformKinds.CONFIGURATION, WatchPace.PROMPT, listeners.configuration());
        this.quarantine = watchRarely(listeners.quarantine());
    }

    private StoreWatcher watchOften(
            String kind, WatchPace withoutSource, StoreWatcher.Listener listener) {
        return new StoreWatcher(
                kind,
                store,
                loop,
                timers,
                log,
                limits,
                () -> pace(withoutSource),
                era,
                this::renewRareWatch,
                listener);
    }

    private StoreWatcher watchRarely(StoreWatcher.Listener listener) {
        return new StoreWatcher(
                PlatformKinds.QUARANTINE,
                store,
                loop,
                timers,
                log,
                limits,
                () -> WatchPace.RARE,
                era,
                () -> {},
                listener);
    }

    private void renewRareWatch() {
        quarantine.renew();
    }

    /**
     * Returns the pace of a watch.
     *
     * @param withoutSource pace of an instance that neither follows a source nor is one
     */
    private WatchPace pace(WatchPace withoutSource) {
        if (urgent.getAsBoolean()) {
            return WatchPace.PROMPT;
        }
        Instant now = timers.now();
        if (followedSource.isSource(now)) {
            return WatchPace.SOURCE;
        }
        return followedSource.current(now).isPresent() ? WatchPace.FOLLOWER : withoutSource;
    }

    /** Lists the objects of each kind and begins to watch them. */
    void start() {
        servers.start();
        configuration.start();
        quarantine.start();
    }

    /** Lists the objects of each kind anew, because the store has come back from another copy. */
    void onStoreEra() {
        servers.onStoreEra();
        configuration.onStoreEra();
        quarantine.onStoreEra();
    }

    /** Makes no further calls. */
    void stop() {
        servers.stop();
        configuration.stop();
        quarantine.stop();
    }
}
