package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three servers sends additional bytes after one in fifty of its answers. */
final class ExtraBytes {
    private static final int SPOILT_OF = 50;
    private static final int REQUESTS = 800;
    private static final int REQUESTS_PER_SECOND = 16;

    /** Ids of the requests that a server has run. */
    private static final Set<String> ran = ConcurrentHashMap.newKeySet();

    private static class CertificateServer extends Server {
        CertificateServer(Run run, Store store, String zone, String id) throws Exception {
            super(store, run.record, Site.PLAIN, zone, id, 6);
        }

        @Override
        void onRequest(Message head, byte[] body, OutputStream out) throws Exception {
            if (head.headers.getOrDefault("tarragonlug-expect-instance", id).equals(id)) {
                ran.add(head.headers.get("tarragonlug-request-id"));
            }
            super.onRequest(head, body, out);
        }
    }

    /** Sends additional bytes after each fiftieth complete answer; they name no request. */
    private static final class FaultyServer extends CertificateServer {
        private final AtomicInteger answers = new AtomicInteger();
        private final boolean trouble;

        FaultyServer(Run run, Store store, String zone, String id) throws Exception {
            super(run, store, zone, id);
            trouble = run.trouble;
        }

        @Override
        byte[] answer(String request) {
            byte[] whole = super.answer(request);
            if (!trouble || answers.incrementAndGet() % SPOILT_OF != 0) {
                return whole;
            }
            record.line("server " + id + " sends additional bytes after its answer to " + request);
            byte[] extra = Message.response(503, Map.of(), "");
            byte[] both = java.util.Arrays.copyOf(whole, whole.length + extra.length);
            System.arraycopy(extra, 0, both, whole.length, extra.length);
            return both;
        }
    }

    private ExtraBytes() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "REFUSED", ExtraBytes::breaks);
    }

    private static boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        new FaultyServer(run, store, "lima-a", "i-app1").start();
        new CertificateServer(run, store, "lima-b", "i-app2").start();
        new CertificateServer(run, store, "lima-c", "i-app3").start();
        List<String> broken = new ArrayList<>();
        Map<String, Integer> outcomes = new TreeMap<>();
        try (Gateway gateway = run.gateway("edge-lima-a-1", "lima-a", store.listener.address())) {
            Thread.sleep(2000);
            List<Thread> requests = new ArrayList<>();
            for (int number = 1; number <= REQUESTS; number++) {
                String certificate = "cert-" + number;
                Thread request =
                        new Thread(() -> issue(run, gateway, certificate, broken, outcomes));
                request.start();
                requests.add(request);
                Thread.sleep(1000 / REQUESTS_PER_SECOND);
            }
            for (Thread each : requests) {
                each.join();
            }
        }
        run.say("answers " + outcomes);
        synchronized (broken) {
            broken.forEach(run::say);
        }
        return !broken.isEmpty();
    }

    /** Asks for a certificate, and once more after a promise that the request has not run. */
    private static void issue(
            Run run,
            Gateway gateway,
            String certificate,
            List<String> broken,
            Map<String, Integer> outcomes) {
        int status = attempt(run, gateway, certificate + "-try1", outcomes);
        if (status != 503) {
            return;
        }
        Server.sleep(200);
        if (!ran.contains(certificate + "-try1")) {
            return;
        }
        attempt(run, gateway, certificate + "-try2", outcomes);
        boolean twice = ran.contains(certificate + "-try2");
        synchronized (broken) {
            broken.add(
                    certificate + "-try1 was answered 503 and has run"
                            + (twice ? "; its client came again, so the certificate was recorded twice" : ""));
        }
    }

    private static int attempt(
            Run run, Gateway gateway, String id, Map<String, Integer> outcomes) {
        String outcome;
        int status = 0;
        try (Client client = new Client(gateway.callerPort)) {
            run.record.line("client sends " + id);
            client.send(
                    "POST",
                    "/cert/1",
                    Map.of(
                            "host", Site.HOST,
                            "tarragonlug-request-id", id,
                            "tarragonlug-deadline-ms", "1500"),
                    new byte[600]);
            Client.Answer answer = client.readAnswer(4000);
            status = answer.status();
            boolean sealed = answer.headers().containsKey("tarragonlug-response-seal");
            outcome = status + (sealed ? " sealed" : " without a seal");
        } catch (Exception failure) {
            outcome = failure.toString();
        }
        run.record.line("client got " + id + ": " + outcome);
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
        return status;
    }
}
