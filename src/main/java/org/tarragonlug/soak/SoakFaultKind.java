package org.tarragonlug.soak;

import java.time.Duration;
import java.util.Random;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** Kinds of faults of a schedule. Each constant defines how the fault starts and ends. */
enum SoakFaultKind {
    /** A server starts again under the id that it had. */
    SERVER_RESTART_SAME_ID(
            Target.SERVER,
            context -> context.fleet().restart(context.random(), true, context.downMillis(), 0)),
    /** A server starts again under a new id at its address, and its old entry stays listed. */
    SERVER_RESTART_NEW_ID(
            Target.SERVER,
            context ->
                    context.fleet()
                            .restart(
                                    context.random(),
                                    false,
                                    context.downMillis(),
                                    context.listedMillis())),
    /** Two servers of different services end, and each address goes to the other service. */
    SERVER_EXCHANGE(
            Target.SERVER,
            context ->
                    context.fleet()
                            .exchange(
                                    context.random(),
                                    context.downMillis(),
                                    context.lengthMillis())),
    /** A server says that it leaves, and leaves. */
    SERVER_LEAVE(
            Target.SERVER,
            context ->
                    context.fleet()
                            .leave(context.random(), context.lengthMillis(), context.downMillis())),
    /** A second id is listed at the address of a server. */
    SERVER_SECOND_ID(
            Target.SERVER,
            context -> context.fleet().listSecondId(context.random(), context.listedMillis())),
    /** A server goes down and up by turns, under its id or under a new one each time. */
    SERVER_FLAP(Target.SERVER, Context::flap),
    /** A server accepts no connection and reads nothing for some time. */
    SERVER_STANDSTILL(
            Target.STANDSTILL,
            context -> context.fleet().standStill(context.random(), context.lengthMillis())),
    /** A gateway is asked to end; a new process follows. */
    GATEWAY_TERMINATE(Target.GATEWAY, context -> context.gateway().terminate()),
    /** A gateway is killed; a new process follows. */
    GATEWAY_KILL(Target.GATEWAY, context -> context.gateway().kill()),
    /** A gateway is paused. */
    GATEWAY_PAUSE(
            Target.GATEWAY,
            context -> context.gateway().pause(),
            context -> context.gateway().resume()),
    /** A gateway is told that its settings may have changed. */
    GATEWAY_HANG_UP(Target.OPERATOR_ACTION, context -> context.gateway().hangUp()),
    /** A gateway is told of settings and to end, again and again while it ends. */
    GATEWAY_SIGNAL_SERIES(
            Target.OPERATOR_ACTION, Context::hangUpAndTerminate, Context::hangUpAndTerminate),
    /** A gateway is asked to end, and the new process as well, as soon as it has begun to start. */
    GATEWAY_START_AND_STOP(
            Target.OPERATOR_ACTION,
            context -> context.gateway().terminateNext(context.startMillis()),
            context -> context.gateway().terminate()),
    /** The configuration changes. */
    CONFIGURATION_CHANGE(Target.OPERATOR_ACTION, context -> context.configuration().change()),
    /** The configuration changes while a gateway ends, and once more afterwards. */
    CONFIGURATION_CHANGE_IN_STOP(
            Target.OPERATOR_ACTION,
            Context::changeAndTerminate,
            context -> context.configuration().change()),
    /** The store answers every call with status 503. */
    STORE_REFUSING(
            Target.STORE,
            context -> context.store().answerAllCallsWith(503),
            context -> context.store().answerAllCallsWith(0)),
    /** The store stops answering on its open connections; new connections work. */
    STORE_CONNECTIONS_SILENT(Target.STORE, context -> context.store().silenceOpenConnections()),
    /** The store answers late. */
    STORE_SLOW(
            Target.STORE,
            context -> context.store().delayAnswers(context.storeDelay()),
            context -> context.store().delayAnswers(Duration.ZERO)),
    /** The store stands still, and then answers all calls that it has received meanwhile. */
    STORE_STANDSTILL(
            Target.STORE,
            context -> context.store().setStandingStill(true),
            context -> context.store().setStandingStill(false)),
    /** The store ends all waiting watches by closing their connections. */
    STORE_CUTS_WATCHES(Target.STORE, context -> context.store().cutWatches()),
    /** The store closes its connections, and returns from an older copy in the next era. */
    STORE_RESTORED(
            Target.STORE_RESTORE,
            context -> context.restores().begin(context.random(), StoreRestores.Form.CLOSING),
            context -> context.restores().end()),
    /** The same twice, soon one after the other, from the same copy. */
    STORE_RESTORED_TWICE(
            Target.STORE_RESTORE,
            context -> context.restores().begin(context.random(), StoreRestores.Form.CLOSING),
            context -> context.restores().endAndRepeat(context.random())),
    /** The store stands still and returns from an older copy; no connection is closed. */
    STORE_RESTORED_BEHIND_WATCHES(
            Target.STORE_RESTORE,
            context -> context.restores().begin(context.random(), StoreRestores.Form.STANDING),
            context -> context.restores().end()),
    /** The store rejects some gateways and serves the others. */
    STORE_REJECTS_SOME(
            Target.STORE_RESTORE,
            context -> context.store().setRejecting(true),
            context -> context.store().setRejecting(false)),
    /** A server says that it leaves, and goes on serving for some seconds. */
    SERVER_LEAVE_SLOWLY(
            Target.AROUND_RESTORE,
            context -> context.fleet().leaveSlowly(context.random(), context.downMillis())),
    /** The configuration changes, so often that a return of the store loses a version. */
    CONFIGURATION_CHANGE_AROUND_RESTORE(
            Target.AROUND_RESTORE, context -> context.configuration().change());

    /** What a fault concerns. */
    enum Target {
        SERVER,
        /**
         * Servers that stand still; drawn apart from other faults, so earlier seeds keep theirs.
         */
        STANDSTILL,
        GATEWAY,
        /**
         * Signals and changes by an operator, in a series of their own; see {@link OperatorAction}.
         */
        OPERATOR_ACTION,
        STORE,
        /** The store and copies of it; drawn apart, and only where a shape asks for it. */
        STORE_RESTORE(200, 1500),
        /**
         * What a return of the store may undo; drawn apart, and only where it returns from copies.
         */
        AROUND_RESTORE;

        private static final int SHORTEST_MILLIS = 100;
        private static final int LONGEST_MILLIS = 2500;

        private final int shortestMillis;
        private final int longestMillis;

        Target() {
            this(SHORTEST_MILLIS, LONGEST_MILLIS);
        }

        Target(int shortestMillis, int longestMillis) {
            this.shortestMillis = shortestMillis;
            this.longestMillis = longestMillis;
        }

        /** Returns the length of the shortest fault, in milliseconds. */
        int shortestMillis() {
            return shortestMillis;
        }

        /** Returns the length of the longest fault, in milliseconds. */
        int longestMillis() {
            return longestMillis;
        }

        /** Returns whether the store is not stable during such a fault. */
        boolean impairsStore() {
            return this == STORE || this == STORE_RESTORE;
        }
    }

    /** Starts or ends a fault. */
    interface Action {
        void run(Context context);
    }

    /**
     * What a fault acts on.
     *
     * @param fleet the servers
     * @param gateway the gateway that it concerns
     * @param store the store
     * @param configuration the configuration in the store
     * @param restores the copies of the store
     * @param random numbers for its further choices
     * @param lengthMillis length of the fault
     */
    record Context(
            SoakFleet fleet,
            SoakGateway gateway,
            PlatformStoreStandIn store,
            ConfigurationChanges configuration,
            StoreRestores restores,
            Random random,
            long lengthMillis) {
        private static final int LONGEST_DOWN_MILLIS = 300;

        /** How much longer than the fault the old entry of a server stays listed. */
        private static final int LISTED_LONGER_MILLIS = 1000;

        private static final int LONGEST_START_MILLIS = 2000;
        private static final int SHORTEST_TURN_MILLIS = 150;
        private static final int LONGEST_TURN_MILLIS = 500;
        private static final int SHORTEST_STORE_DELAY_MILLIS = 50;
        private static final int LONGEST_STORE_DELAY_MILLIS = 1500;

        private long listedMillis() {
            return lengthMillis + LISTED_LONGER_MILLIS;
        }

        private long downMillis() {
            return random.nextInt(LONGEST_DOWN_MILLIS);
        }

        private Duration storeDelay() {
            return Duration.ofMillis(
                    SoakRandom.between(
                            random, SHORTEST_STORE_DELAY_MILLIS, LONGEST_STORE_DELAY_MILLIS));
        }

        private long startMillis() {
            return random.nextInt(LONGEST_START_MILLIS);
        }

        private void hangUpAndTerminate() {
            gateway.hangUp();
            gateway.terminate();
        }

        private void changeAndTerminate() {
            configuration.change();
            gateway.terminate();
        }

        private void flap() {
            int turn = SoakRandom.between(random, SHORTEST_TURN_MILLIS, LONGEST_TURN_MILLIS);
            fleet.flap(
                    random,
                    random.nextBoolean(),
                    turn,
                    random.nextInt(turn / 2),
                    listedMillis(),
                    (int) (lengthMillis / turn));
        }
    }

    private final Target target;
    private final Action start;
    private final Action end;

    SoakFaultKind(Target target, Action start) {
        this(target, start, context -> {});
    }

    SoakFaultKind(Target target, Action start, Action end) {
        this.target = target;
        this.start = start;
        this.end = end;
    }

    Target target() {
        return target;
    }

    /** Returns whether the store answers late, to some only or not at all during the fault. */
    boolean hindersCalls() {
        return target.impairsStore()
                && this != STORE_CONNECTIONS_SILENT
                && this != STORE_CUTS_WATCHES;
    }

    void start(Context context) {
        start.run(context);
    }

    void end(Context context) {
        end.run(context);
    }
}
