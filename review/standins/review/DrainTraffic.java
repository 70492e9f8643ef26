package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Three gateways with steady traffic of certificates, and three servers of which one leaves. */
final class DrainTraffic implements AutoCloseable {
    private static final List<String> ZONES = List.of("lima-a", "lima-b", "lima-c");
    private static final int DRAIN_MILLIS = 2000;

    /** Over all gateways; 16.3 on the sheet. */
    private static final int REQUESTS_PER_SECOND = 16;

    private static final int SECONDS = 10;

    /** Runs each request for 86 ms. */
    private static class CertificateServer extends Server {
        CertificateServer(Store store, Record record, String zone, String id) throws Exception {
            super(store, record, Site.PLAIN, zone, id, 6);
        }

        @Override
        void work(Message head) {
            sleep(86);
        }
    }

    /** Notes the requests that reach it too late. */
    private final class LeavingServer extends CertificateServer {
        LeavingServer(Store store, Record record) throws Exception {
            super(store, record, "lima-a", "i-app1");
        }

        @Override
        void onRequest(Message head, byte[] body, OutputStream out) throws Exception {
            long now = System.nanoTime();
            long sinceAck = (now - ackAt) / 1_000_000;
            if (ackAt != 0 && sinceAck > DRAIN_MILLIS && now > inTouchFrom) {
                late.add(
                        head.headers.get("tarragonlug-request-id") + " reached " + id + " " + sinceAck
                                + " ms after the ack that it leaves");
            }
            super.onRequest(head, body, out);
        }
    }

    final List<String> late = new CopyOnWriteArrayList<>();
    final Server leaving;
    private final Run run;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Thread traffic = new Thread(this::sendTraffic);
    private volatile long ackAt;
    private volatile long inTouchFrom;

    DrainTraffic(Run run, Store store, String storeAddress) throws Exception {
        this.run = run;
        leaving = new LeavingServer(store, run.record);
        leaving.start();
        new CertificateServer(store, run.record, "lima-b", "i-app2").start();
        new CertificateServer(store, run.record, "lima-c", "i-app3").start();
        for (String zone : ZONES) {
            gateways.add(run.gateway("edge-" + zone + "-1", zone, storeAddress));
        }
        Thread.sleep(8000);
        traffic.start();
    }

    /** Counts requests only if they are sent on after this time. */
    void inTouchAfter(int millis) {
        inTouchFrom = System.nanoTime() + millis * 1_000_000L;
    }

    /** Called when the store has accepted that the server is draining or gone. */
    void onAck() {
        ackAt = System.nanoTime();
        run.record.line("the store has accepted that " + leaving.id + " is draining or gone");
    }

    /** Ends the server, waits for the end of the traffic, and reports. */
    void finish() throws Exception {
        run.say(leaving.id + " exits with " + leaving.running.get() + " requests running");
        leaving.listener.stop();
        traffic.join();
        run.say("answers " + outcomes);
        late.forEach(run::say);
    }

    private void sendTraffic() {
        List<Thread> requests = new ArrayList<>();
        for (int number = 1; number <= SECONDS * REQUESTS_PER_SECOND; number++) {
            Gateway gateway = gateways.get(number % gateways.size());
            String id = "cert-" + number;
            Thread request = new Thread(() -> ask(gateway, id));
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

    private void ask(Gateway gateway, String id) {
        String outcome;
        try (Client client = new Client(gateway.callerPort)) {
            run.record.line("client sends " + id + " to " + gateway.name);
            client.send(
                    "POST",
                    "/cert/1",
                    Map.of(
                            "host", Site.HOST,
                            "tarragonlug-request-id", id,
                            "tarragonlug-deadline-ms", "1500"),
                    new byte[600]);
            outcome = "status " + client.readAnswer(4000).status();
        } catch (Exception failure) {
            outcome = failure.toString();
        }
        run.record.line("client got " + id + ": " + outcome);
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    @Override
    public void close() throws InterruptedException {
        for (Gateway each : gateways) {
            each.close();
        }
    }
}
