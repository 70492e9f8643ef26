package org.tarragonlug.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Request arrivals in virtual time. All compared policies get the same trace. */
final class TrafficTrace {
    static final int NO_ADAPTER = -1;
    static final long SECOND = 1_000;
    static final long MINUTE = 60 * SECOND;
    static final long HOUR = 60 * MINUTE;
    static final long DAY = 24 * HOUR;

    private final int models;
    private final int adapters;
    private final long endMillis;
    private final Random random;
    private final List<Arrival> arrivals = new ArrayList<>();

    TrafficTrace(int models, int adapters, int days, Random random) {
        this.models = models;
        this.adapters = adapters;
        this.endMillis = days * DAY;
        this.random = random;
    }

    /**
     * Adds a request for a model unless the time is outside of the trace. If the model has
     * adapters, half of its requests name one of them at random.
     */
    void add(int model, double atMillis) {
        if (atMillis < 0 || atMillis >= endMillis) {
            return;
        }
        int modelAdapters = adapters / models + (model < adapters % models ? 1 : 0);
        int adapter = NO_ADAPTER;
        if (modelAdapters > 0 && random.nextBoolean()) {
            adapter = model + models * random.nextInt(modelAdapters);
        }
        long duration = (long) (SECOND + 2 * SECOND * exponential(random));
        arrivals.add(new Arrival((long) atMillis, model, adapter, duration));
    }

    /** Adds requests at uniformly distributed times within a spread after the given time. */
    void addBurst(int model, double atMillis, int requests, double spreadMillis) {
        for (int i = 0; i < requests; i++) {
            add(model, atMillis + spreadMillis * random.nextDouble());
        }
    }

    /** Adds requests with exponentially distributed gaps. */
    void addPoisson(int model, double fromMillis, double toMillis, double meanGapMillis) {
        double at = fromMillis + meanGapMillis * exponential(random);
        while (at < toMillis) {
            add(model, at);
            at += meanGapMillis * exponential(random);
        }
    }

    /** Returns the arrivals in order of time. */
    List<Arrival> sorted() {
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
        return List.copyOf(arrivals);
    }

    static double exponential(Random random) {
        return -Math.log(1 - random.nextDouble());
    }

    /**
     * The arrival of one request.
     *
     * @param atMillis time of arrival, milliseconds since the start of the trace
     * @param model number of the model
     * @param adapter number of the adapter, or {@link #NO_ADAPTER}
     * @param durationMillis running time, milliseconds
     */
    record Arrival(long atMillis, int model, int adapter, long durationMillis) {}
}
