package org.tarragonlug.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonlug.standin.FreePort;

/** The backend servers of a soak: places at fixed addresses, which servers come to and leave. */
final class SoakFleet implements AutoCloseable {
    private static final long BIND_RETRY_MILLIS = 50;
    private static final int SHORTEST_DRAIN_MILLIS = 2500;
    private static final int LONGEST_DRAIN_MILLIS = 8000;

    /** An address with the server that is there now. */
    private static final class Place {
        final int number;
        final int port;
        String service;
        SoakServer server;
        boolean changing;

        Place(int number, int port, String service) {
            this.number = number;
            this.port = port;
            this.service = service;
        }
    }

    private final List<Place> places = new ArrayList<>();
    private final ServerEntries entries;
    private final SoakChecker checker;
    private final ServerCounts counts;
    private final ScheduledExecutorService timers;
    private final long seed;
    private final SoakShape shape;
    private int starts;
    private boolean sound;
    private boolean closed;

    /** Starts and lists all servers. */
    SoakFleet(
            long seed,
            SoakShape shape,
            ServerEntries entries,
            SoakChecker checker,
            ServerCounts counts,
            ScheduledExecutorService timers)
            throws IOException {
        this.seed = seed;
        this.shape = shape;
        this.entries = entries;
        this.checker = checker;
        this.counts = counts;
        this.timers = timers;
        for (String service : new TreeSet<>(shape.services().keySet())) {
            for (int number = 0; number < shape.services().get(service).servers(); number++) {
                Place added = new Place(number, FreePort.find().getPort(), service);
                places.add(added);
                start(added, newId(service));
            }
        }
    }

    private String newId(String service) {
        starts++;
        return service + "-" + starts;
    }

    private void start(Place place, String id) throws IOException {
        Random random = SoakRandom.of(seed, id + "/" + counts.starts.get());
        int refused = shape.faults().refusedPercent();
        place.server =
                new SoakServer(
                        id,
                        listing(place),
                        refused,
                        shape.pressure(),
                        random,
                        checker,
                        counts,
                        timers);
        if (sound) {
            place.server.setSound();
        }
        list(place);
    }

    private ServerListing listing(Place place) {
        boolean holdsModels = place.service.equals(RequestKind.ASK.service());
        return new ServerListing(
                place.service,
                place.port,
                shape.failureDomain(place.number),
                shape.services().get(place.service).slots(),
                holdsModels ? shape.modelsOf(place.number) : List.of(),
                shape.faults().restoresStore() ? List.of() : shape.adapterNames(),
                shape.faults().restoresStore());
    }

    private void list(Place place) {
        entries.write(place.server.id, place.server::entry);
    }

    /** Draws a place whose server does not change now; null if the drawn one does. */
    private Place drawSteady(Random random) {
        Place place = places.get(random.nextInt(places.size()));
        return place.changing || closed ? null : place;
    }

    private void after(long millis, Runnable task) {
        timers.schedule(
                () -> {
                    synchronized (this) {
                        task.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Ends a server and starts it again at its address.
     *
     * @param sameId whether it comes back under its id; else the old entry stays for some time
     * @param downMillis time between end and start
     * @param listedMillis how long the old entry stays
     */
    synchronized void restart(Random random, boolean sameId, long downMillis, long listedMillis) {
        Place place = drawSteady(random);
        if (place != null) {
            restart(place, sameId, downMillis, listedMillis);
        }
    }

    private void restart(Place place, boolean sameId, long downMillis, long listedMillis) {
        String oldId = place.server.id;
        end(place, sameId ? -1 : listedMillis);
        startAfter(place, sameId ? oldId : newId(place.service), downMillis);
    }

    /** Ends two servers of different services; each service then gets the address of the other. */
    synchronized void exchange(Random random, long downMillis, long listedMillis) {
        Place first = drawSteady(random);
        Place second = drawSteady(random);
        if (first == null || second == null || first.service.equals(second.service)) {
            return;
        }
        String service = first.service;
        for (Place place : List.of(first, second)) {
            end(place, listedMillis);
        }
        first.service = second.service;
        second.service = service;
        startAfter(first, newId(first.service), downMillis);
        startAfter(second, newId(second.service), downMillis);
    }

    /** Lets a server say that it leaves, and then leave; another one comes to its address. */
    synchronized void leave(Random random, long drainMillis, long downMillis) {
        Place place = drawSteady(random);
        if (place == null) {
            return;
        }
        place.changing = true;
        leave(place, drainMillis, downMillis);
    }

    private void leave(Place place, long drainMillis, long downMillis) {
        place.server.setLeaving();
        list(place);
        after(
                drainMillis,
                () -> {
                    end(place, 0);
                    startAfter(place, newId(place.service), downMillis);
                });
    }

    /** Lets a server say that it leaves, and leave when it has served for some seconds more. */
    synchronized void leaveSlowly(Random random, long downMillis) {
        Place place = drawSteady(random);
        if (place != null) {
            place.changing = true;
            place.server.endStandstill();
            if (random.nextBoolean()) {
                place.server.sayLeavingOnlyInStore();
            }
            long drainMillis =
                    SoakRandom.between(random, SHORTEST_DRAIN_MILLIS, LONGEST_DRAIN_MILLIS);
            leave(place, drainMillis, downMillis);
        }
    }

    /**
     * Lists a second id at the address of a server for some time. The server rejects what is meant
     * for that id.
     */
    synchronized void listSecondId(Random random, long listedMillis) {
        Place place = drawSteady(random);
        if (place != null) {
            String id = newId(place.service);
            entries.write(id, place.server::readyEntry);
            after(listedMillis, () -> entries.remove(id));
        }
    }

    /** Lets a server stand still for some time. */
    synchronized void standStill(Random random, long millis) {
        Place place = drawSteady(random);
        if (place != null && !sound) {
            place.server.standStill(millis);
        }
    }

    /**
     * Lets a server go down and come back by turns.
     *
     * @param sameId whether it comes back under its id; else the old entry stays for some time
     * @param turnMillis time between two ends of the server
     * @param downMillis time between an end and the start after it
     * @param listedMillis how long an old entry stays
     * @param turns how often it goes down
     */
    synchronized void flap(
            Random random,
            boolean sameId,
            long turnMillis,
            long downMillis,
            long listedMillis,
            int turns) {
        Place place = drawSteady(random);
        if (place != null) {
            flap(place, sameId, turnMillis, downMillis, listedMillis, turns);
        }
    }

    private void flap(
            Place place,
            boolean sameId,
            long turnMillis,
            long downMillis,
            long listedMillis,
            int turns) {
        if (closed || sound || turns == 0) {
            return;
        }
        if (!place.changing) {
            restart(place, sameId, downMillis, listedMillis);
        }
        after(
                turnMillis,
                () -> flap(place, sameId, turnMillis, downMillis, listedMillis, turns - 1));
    }

    /** Ends a server. Its entry is removed after some time; a negative time keeps it. */
    private void end(Place place, long listedMillis) {
        place.changing = true;
        place.server.close();
        String id = place.server.id;
        entries.forget(id);
        if (listedMillis >= 0) {
            after(listedMillis, () -> entries.remove(id));
        }
    }

    private void startAfter(Place place, String id, long millis) {
        after(millis, () -> startOrRetry(place, id));
    }

    private void startOrRetry(Place place, String id) {
        if (closed) {
            return;
        }
        try {
            start(place, id);
            place.changing = false;
        } catch (IOException addressInUse) {
            // The system has not given the address back yet.
            startAfter(place, id, BIND_RETRY_MILLIS);
        }
    }

    /** Ends all faults that servers have from request to request. */
    synchronized void setSound() {
        sound = true;
        places.forEach(place -> place.server.setSound());
    }

    @Override
    public synchronized void close() {
        closed = true;
        places.forEach(place -> place.server.close());
    }
}
