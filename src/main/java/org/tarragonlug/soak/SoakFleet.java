package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.FreePort;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** The backend servers of a soak: places at fixed addresses, which servers come to and leave. */
final class SoakFleet implements AutoCloseable {
    private static final int PLACES_OF_SERVICE = 3;
    private static final long BIND_RETRY_MILLIS = 50;

    /** An address with the server that is there now. */
    private static final class Place {
        final int port;
        String service;
        SoakServer server;
        boolean changing;

        Place(int port, String service) {
            this.port = port;
            this.service = service;
        }
    }

    private final List<Place> places = new ArrayList<>();
    private final PlatformStoreStandIn store;
    private final SoakChecker checker;
    private final ServerCounts counts;
    private final ScheduledExecutorService timers;
    private final long seed;
    private int starts;
    private boolean sound;
    private boolean closed;

    /** Starts and lists all servers. */
    SoakFleet(
            long seed,
            PlatformStoreStandIn store,
            SoakChecker checker,
            ServerCounts counts,
            ScheduledExecutorService timers)
            throws IOException {
        this.seed = seed;
        this.store = store;
        this.checker = checker;
        this.counts = counts;
        this.timers = timers;
        for (String service : List.of("engines", "records", "ledger")) {
            for (int place = 0; place < PLACES_OF_SERVICE; place++) {
                Place added = new Place(FreePort.find().getPort(), service);
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
        place.server =
                new SoakServer(id, place.service, place.port, random, checker, counts, timers);
        if (sound) {
            place.server.setSound();
        }
        list(place, "ready");
    }

    private void list(Place place, String state) {
        ObjectNode entry = Json.object();
        entry.put("service", place.service);
        entry.put("address", "127.0.0.1:" + place.port);
        entry.put("zone", "home");
        entry.put("slots", SoakServer.SLOTS);
        entry.put("state", state);
        entry.put("born", System.currentTimeMillis());
        ArrayNode models = entry.putArray("models");
        if (place.service.equals(RequestKind.ASK.service())) {
            models.addObject().put("name", RequestKind.MODEL).putArray("adapters");
        }
        store.put(PlatformKinds.SERVERS, place.server.id, entry);
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
            String oldId = place.server.id;
            end(place, sameId ? -1 : listedMillis);
            startAfter(place, sameId ? oldId : newId(place.service), downMillis);
        }
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
        place.server.setLeaving();
        list(place, "draining");
        after(
                drainMillis,
                () -> {
                    end(place, 0);
                    startAfter(place, newId(place.service), downMillis);
                });
    }

    /** Ends a server. Its entry is removed after some time; a negative time keeps it. */
    private void end(Place place, long listedMillis) {
        place.changing = true;
        place.server.close();
        String id = place.server.id;
        if (listedMillis >= 0) {
            after(listedMillis, () -> store.remove(PlatformKinds.SERVERS, id));
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
