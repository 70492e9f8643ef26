package org.tarragonlug.measure;

import java.util.Random;

/**
 * Generates the traffic of balloon recovery. Flight windows are regular, with requests for
 * predictions at a steady rate. Sightings come at irregular times, each with a burst of requests by
 * three crews and follow-ups, and with briefings some minutes later. Scientists request summaries.
 *
 * <p>Models 0 to 23 predict flights, models 24 to 49 estimate landings, models 50 to 61 brief
 * crews, and the other models summarise.
 */
final class SolanoTraffic {
    private static final int FLIGHTS = 24;
    private static final int LANDINGS = 26;
    private static final int BRIEFINGS = 12;
    private static final int CREWS = 3;
    private static final double SIGHTINGS_PER_DAY = 0.7;
    private static final double CANCELLATION_PROBABILITY = 0.2;

    private final int models;
    private final int days;
    private final Random random;
    private final TrafficTrace trace;

    SolanoTraffic(int models, int adapters, int days, Random random) {
        this.models = models;
        this.days = days;
        this.random = random;
        this.trace = new TrafficTrace(models, adapters, days, random);
    }

    TrafficTrace generate() {
        for (int model = 0; model < FLIGHTS; model++) {
            addFlights(model);
        }
        for (int model = FLIGHTS; model < FLIGHTS + LANDINGS; model++) {
            addSightings(model);
        }
        for (int model = FLIGHTS + LANDINGS + BRIEFINGS; model < models; model++) {
            addSummaries(model);
        }
        return trace;
    }

    private void addFlights(int model) {
        int windows = 1 + random.nextInt(2);
        for (int window = 0; window < windows; window++) {
            int halfHour = random.nextInt(40);
            int everyDays = 1 + random.nextInt(2);
            double hours = 2 + 2 * random.nextDouble();
            double gapMinutes = 3 + 5 * random.nextDouble();
            for (int day = 0; day < days; day++) {
                boolean today = everyDays == 1 || day % 7 % 2 == model % 2;
                if (today && random.nextDouble() >= CANCELLATION_PROBABILITY) {
                    double launch =
                            day * TrafficTrace.DAY
                                    + halfHour * 30 * TrafficTrace.MINUTE
                                    + 3 * random.nextGaussian() * TrafficTrace.MINUTE;
                    addFlight(model, launch, hours, gapMinutes);
                }
            }
        }
    }

    private void addFlight(int model, double launch, double hours, double gapMinutes) {
        double end = launch + hours * TrafficTrace.HOUR;
        trace.addBurst(model, launch, 2, 20 * TrafficTrace.SECOND);
        double at = launch;
        while (at < end) {
            at += gapMinutes * (0.7 + 0.6 * random.nextDouble()) * TrafficTrace.MINUTE;
            trace.add(model, at);
        }
    }

    private void addSightings(int model) {
        double mean = TrafficTrace.DAY / SIGHTINGS_PER_DAY;
        double at = mean * TrafficTrace.exponential(random);
        while (at < (double) days * TrafficTrace.DAY) {
            trace.addBurst(model, at, CREWS, TrafficTrace.MINUTE);
            double end = at + (0.5 + 1.5 * random.nextDouble()) * TrafficTrace.HOUR;
            trace.addPoisson(model, at, end, 7 * TrafficTrace.MINUTE);
            int briefing = FLIGHTS + LANDINGS + random.nextInt(BRIEFINGS);
            double after = (5 + 5 * random.nextDouble()) * TrafficTrace.MINUTE;
            trace.addBurst(briefing, at + after, CREWS, 2 * TrafficTrace.MINUTE);
            at += mean * TrafficTrace.exponential(random);
        }
    }

    private void addSummaries(int model) {
        for (int day = 0; day < days; day++) {
            for (int sessions = 1 + random.nextInt(5); sessions > 0; sessions--) {
                double hour = 8 + 10 * random.nextDouble();
                double at = day * TrafficTrace.DAY + hour * TrafficTrace.HOUR;
                trace.add(model, at);
                trace.addPoisson(model, at, at + 20 * TrafficTrace.MINUTE, 5 * TrafficTrace.MINUTE);
            }
        }
    }
}
