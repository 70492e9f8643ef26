package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The open connections to the store go silent, while new ones work; then a server reports that it
 * is draining, and leaves.
 */
final class SilentWatch {
    private static final List<String> ZONES = List.of("lima-a", "lima-b", "lima-c");
    private static final int DRAIN_MILLIS = 2000;
    private static final int STABLE_WINDOW_MILLIS = 3000;

    /** From the silence to the report that the server is draining. */
    private static final int DRAINING_AFTER_MILLIS = 300;

    /** From the report to the end of the server: the drain time and a little longer. */
    private static final int SERVES_ON_MILLIS = 3500;

    /** Requests a second, over all gateways: 16.3 of the sheet, twice in a burst. */
    private static final int REQUESTS_PER_SECOND = 32;

    private static volatile long silentAt;

    /** Runs each request for 86 ms. */
    private static class DispatchServer extends Server {
        DispatchServer(Store store, Record record, String zone, String id) throws Exception {
            super(store, record, Site.PLAIN, zone, id, 6);
        }

        @Override
        void work(Message head) {
            sleep(86);
        }
    }

    private static final class LeavingServer extends DispatchServer {
        final List<String> late = new CopyOnWriteArrayList<>();
        volatile long drainingAt;

        LeavingServer(Store store, Record record) throws Exception {
            super(store, record, "lima-a", "i-app1");
        }

        @Override
        void onRequest(Message head, byte[] body, OutputStream out) throws Exception {
            long now = System.nanoTime();
            long sinceDraining = (now - drainingAt) / 1_000_000;
            long sinceSilence = (now - silentAt) / 1_000_000;
            // A request counts if it was sent on by a machine in touch, so not just at its begin.
            if (drainingAt != 0
                    && sinceDraining > DRAIN_MILLIS
                    && (silentAt == 0 || sinceSilence > STABLE_WINDOW_MILLIS + 100)) {
                late.add(
                        head.headers.get("tarragonlug-request-id") + " reached " + id + " "
                                + sinceDraining + " ms after the ack that it drains, " + sinceSilence
                                + " ms after the connections went silent");
            }
            super.onRequest(head, body, out);
        }
    }

    private SilentWatch() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "DRAIN", SilentWatch::breaks);
    }

    private static boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        Proxy proxy = new Proxy(store.listener.port());
        LeavingServer leaving = new LeavingServer(store, run.record);
        leaving.start();
        for (int number = 2; number <= 3; number++) {
            new DispatchServer(store, run.record, "lima-b", "i-app" + number).start();
        }
        EngineServer engine =
                new EngineServer(store, run.record, "lima-a", "i-engine1", 64, 14, 30);
        engine.hold("m0");
        engine.start();
        List<Gateway> gateways = new ArrayList<>();
        try {
            for (String zone : ZONES) {
                gateways.add(run.gateway("edge-" + zone + "-1", zone, proxy.listener.address()));
            }
            Thread.sleep(8000);
            Map<String, Integer> outcomes = new TreeMap<>();
            Thread traffic = new Thread(() -> sendTraffic(gateways, run.record, outcomes));
            traffic.start();
            Thread.sleep(2000);
            // As models do at any time, one changes the entry of its server; watches begin anew.
            engine.hold("m1");
            engine.register();
            run.record.line("the entry of i-engine1 changes");
            Thread.sleep(1300);
            if (run.trouble) {
                proxy.silenceOpenConnections();
                silentAt = System.nanoTime();
                run.record.line("the open connections to the store are silent");
            }
            Thread.sleep(DRAINING_AFTER_MILLIS);
            leaving.state = "draining";
            leaving.register();
            leaving.drainingAt = System.nanoTime();
            run.record.line("the store has accepted that i-app1 is draining");
            Thread.sleep(SERVES_ON_MILLIS);
            leaving.gone = true;
            store.remove("servers", leaving.id);
            run.say("i-app1 exits with " + leaving.running.get() + " requests running");
            leaving.listener.stop();
            traffic.join();
            run.say("answers " + outcomes);
        } finally {
            for (Gateway each : gateways) {
                each.close();
            }
        }
        leaving.late.forEach(run::say);
        return !leaving.late.isEmpty();
    }

    /** Sends certificates for ten seconds at a steady rate, each on a new connection. */
    private static void sendTraffic(
            List<Gateway> gateways, Record record, Map<String, Integer> outcomes) {
        List<Thread> requests = new ArrayList<>();
        for (int number = 1; number <= 10 * REQUESTS_PER_SECOND; number++) {
            Gateway gateway = gateways.get(number % gateways.size());
            String id = "cert-" + number;
            Thread request = new Thread(() -> ask(gateway, record, outcomes, id));
            request.start();
            requests.add(request);
            Server.sleep(1000 / REQUESTS_PER_SECOND);
        }
        for (Thread each : requests) {
            try {
                each.join();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }

    private static void ask(
            Gateway gateway, Record record, Map<String, Integer> outcomes, String id) {
        String outcome;
        try (Client client = new Client(gateway.callerPort)) {
            record.line("client sends " + id + " to " + gateway.name);
            client.send(
                    "POST",
                    "/cert/1",
                    Map.of("host", Site.HOST, "tarragonlug-request-id", id, "tarragonlug-deadline-ms", "1500"),
                    new byte[600]);
            outcome = "status " + client.readAnswer(4000).status();
        } catch (Exception failure) {
            outcome = failure.toString();
        }
        record.line("client got " + id + ": " + outcome);
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }
}
