package org.tarragonlug.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.standin.PlatformStoreStandIn;

/**
 * Keeps copies of the store, and lets it be away and return from one of them. Soon after a return
 * the operator writes the newest configuration again, often a further version follows, and often a
 * server leaves, which the old revisions that gateways remember must not hide. The servers renew
 * their entries in any case, see {@link ServerEntries}. Thread-safe.
 */
final class StoreRestores {
    /** How the store is away. */
    enum Form {
        /** It closes its connections. */
        CLOSING {
            @Override
            void begin(PlatformStoreStandIn store) {
                store.setAway(true);
            }

            @Override
            void end(PlatformStoreStandIn store, PlatformStoreStandIn.Copy copy) {
                store.returnFrom(copy);
            }
        },
        /** It stands still, and calls wait. */
        STANDING {
            @Override
            void begin(PlatformStoreStandIn store) {
                store.setStandingStill(true);
            }

            @Override
            void end(PlatformStoreStandIn store, PlatformStoreStandIn.Copy copy) {
                store.returnBehindWatches(copy);
                store.setStandingStill(false);
            }
        };

        abstract void begin(PlatformStoreStandIn store);

        abstract void end(PlatformStoreStandIn store, PlatformStoreStandIn.Copy copy);
    }

    private record KeptCopy(PlatformStoreStandIn.Copy copy, long millis) {}

    private static final long COPY_INTERVAL_MILLIS = 500;
    private static final long OLDEST_COPY_MILLIS = 10_000;
    private static final int LATEST_WRITE_MILLIS = 1000;
    private static final int LATEST_LEAVE_MILLIS = 2000;
    private static final int CHANGE_PERCENT = 60;
    private static final int SHORTEST_TURN_MILLIS = 500;
    private static final int LONGEST_TURN_MILLIS = 5000;
    private static final int SHORTEST_AWAY_MILLIS = 200;
    private static final int LONGEST_AWAY_MILLIS = 1500;

    private final PlatformStoreStandIn store;
    private final StoreWriter writer;
    private final ConfigurationChanges configuration;
    private final SoakFleet fleet;
    private final SoakChecker checker;
    private final ScheduledExecutorService timers;
    private final Deque<KeptCopy> copies = new ArrayDeque<>();
    private KeptCopy chosen;
    private Form form;

    /** Numbers for what follows the return. */
    private Random random;

    private boolean away;
    private boolean sound;
    private int restores;

    /**
     * Creates the part without any copy.
     *
     * @param store the store
     * @param writer is interrupted while the store is away
     * @param configuration is written again after a return
     * @param fleet a server of it often leaves soon after a return
     * @param checker receives what the store has lost
     * @param timers run what is done later
     */
    StoreRestores(
            PlatformStoreStandIn store,
            StoreWriter writer,
            ConfigurationChanges configuration,
            SoakFleet fleet,
            SoakChecker checker,
            ScheduledExecutorService timers) {
        this.store = store;
        this.writer = writer;
        this.configuration = configuration;
        this.fleet = fleet;
        this.checker = checker;
        this.timers = timers;
    }

    /** Keeps a copy if the last one is old enough, and drops those that are too old. */
    synchronized void keepCopy(long millis) {
        if (away || (!copies.isEmpty() && millis < nextCopyMillis())) {
            return;
        }
        copies.addLast(new KeptCopy(store.copy(), millis));
        copies.removeIf(each -> millis - each.millis() > OLDEST_COPY_MILLIS);
    }

    private long nextCopyMillis() {
        return copies.getLast().millis() + COPY_INTERVAL_MILLIS;
    }

    /** Lets the store be away, unless it is or has no copy that is old enough. */
    synchronized void begin(Random numbers, Form chosenForm) {
        long now = SoakClock.millis();
        List<KeptCopy> old = new ArrayList<>(copies);
        old.removeIf(each -> now - each.millis() < COPY_INTERVAL_MILLIS);
        if (!old.isEmpty()) {
            begin(old.get(numbers.nextInt(old.size())), chosenForm, numbers);
        }
    }

    private void begin(KeptCopy copy, Form chosenForm, Random numbers) {
        if (away || sound) {
            return;
        }
        away = true;
        chosen = copy;
        form = chosenForm;
        random = numbers;
        writer.setInterrupted(true);
        form.begin(store);
    }

    /** Lets the store return, if it is away. */
    synchronized void end() {
        if (!away) {
            return;
        }
        away = false;
        restores++;
        form.end(store, chosen.copy());
        checker.onStoreRestored(storedVersion());
        writer.setInterrupted(false);
        writeAgainSoon();
    }

    private int storedVersion() {
        return store.contents(PlatformKinds.CONFIGURATION)
                .get(PlatformKinds.CURRENT_CONFIGURATION)
                .path("version")
                .asInt();
    }

    private void writeAgainSoon() {
        int millis = random.nextInt(LATEST_WRITE_MILLIS);
        timers.schedule(configuration::writeAgain, millis, TimeUnit.MILLISECONDS);
        if (SoakRandom.percent(random, CHANGE_PERCENT)) {
            int later = millis + random.nextInt(LATEST_WRITE_MILLIS);
            timers.schedule(configuration::change, later, TimeUnit.MILLISECONDS);
        }
        if (random.nextBoolean()) {
            int leave = random.nextInt(LATEST_LEAVE_MILLIS);
            Random numbers = random;
            timers.schedule(() -> fleet.leaveSlowly(numbers, 0), leave, TimeUnit.MILLISECONDS);
        }
    }

    /** Lets the store return, and soon once more from the same copy. */
    synchronized void endAndRepeat(Random numbers) {
        KeptCopy copy = chosen;
        boolean ended = away;
        end();
        if (ended) {
            int turn = SoakRandom.between(numbers, SHORTEST_TURN_MILLIS, LONGEST_TURN_MILLIS);
            int length = SoakRandom.between(numbers, SHORTEST_AWAY_MILLIS, LONGEST_AWAY_MILLIS);
            timers.schedule(() -> repeat(copy, length, numbers), turn, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void repeat(KeptCopy copy, int length, Random numbers) {
        if (away || sound) {
            return;
        }
        checker.onStoreImpaired(true, true, SoakClock.millis());
        begin(copy, Form.CLOSING, numbers);
        timers.schedule(this::endRepeated, length, TimeUnit.MILLISECONDS);
    }

    private void endRepeated() {
        end();
        checker.onStoreImpaired(false, true, SoakClock.millis());
    }

    /** Ends the faults of the store: it returns, and is not away again. */
    synchronized void setSound() {
        end();
        sound = true;
    }

    /** Returns how often the store has returned, as key=value. */
    synchronized String line() {
        return "store_restores=" + restores;
    }
}
