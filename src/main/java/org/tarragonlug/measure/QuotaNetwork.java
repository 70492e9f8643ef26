package org.tarragonlug.measure;

import java.util.SplittableRandom;

/** Messages between instances that take time, get lost, or are kept away by a partition. */
final class QuotaNetwork {
    private static final double MIN_DELAY_MILLIS = 0.3;
    private static final double DELAY_RANGE_MILLIS = 2.7;
    private static final double SLOW_SHARE = 0.02;
    private static final double SLOW_RANGE_MILLIS = 900;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final boolean unreliable;
    private final int[] side;

    /**
     * Creates a network that is not divided.
     *
     * @param unreliable whether some messages are lost or slow
     */
    QuotaNetwork(int instances, boolean unreliable, VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
        this.unreliable = unreliable;
        this.side = new int[instances];
    }

    /** Puts an instance on a side; only instances on the same side hear each other. */
    void setSide(int instance, int number) {
        side[instance] = number;
    }

    int side(int instance) {
        return side[instance];
    }

    void send(int from, int to, Runnable delivery) {
        if (side[from] != side[to] || unreliable && random.nextDouble() < SLOW_SHARE) {
            return;
        }
        double delay = MIN_DELAY_MILLIS + random.nextDouble() * DELAY_RANGE_MILLIS;
        if (unreliable && random.nextDouble() < SLOW_SHARE) {
            delay += random.nextDouble() * SLOW_RANGE_MILLIS;
        }
        time.afterMillis(delay, delivery);
    }
}
