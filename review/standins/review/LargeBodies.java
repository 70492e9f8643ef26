package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Eight clients at once send bodies of the size that the desired state allows. */
final class LargeBodies {
    private static final int CLIENTS = 8;
    private static final int SECONDS = 75;
    private static final int LARGEST_BODY = 4_194_304;
    private static final int ORDINARY_BODY = 600;
    private static final int ROUTE_TIMEOUT_MILLIS = 1500;
    private static final int HALF_A_SECOND = 500;
    private static final int TIME_BUDGET_MILLIS = 4000;

    private final List<String> unanswered = new ArrayList<>();
    private final List<String> unansweredLater = new ArrayList<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();

    private LargeBodies() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "CONFIG", run -> new LargeBodies().breaks(run));
    }

    private boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        for (int number = 1; number <= 3; number++) {
            String zone = "lima-" + "abc".charAt(number - 1);
            new Server(store, run.record, Site.PLAIN, zone, "i-app" + number, 6).start();
        }
        int size = run.trouble ? LARGEST_BODY : ORDINARY_BODY;
        try (Gateway gateway = run.gateway("edge-lima-a-1", "lima-a", store.listener.address())) {
            Thread.sleep(2000);
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            for (int round = 1; System.nanoTime() < end; round++) {
                List<Thread> threads = new ArrayList<>();
                for (int client = 1; client <= CLIENTS; client++) {
                    String id = "cert-" + round + "-" + client;
                    Thread thread = new Thread(() -> request(run, gateway, id, size));
                    thread.start();
                    threads.add(thread);
                }
                for (Thread each : threads) {
                    each.join();
                }
                Thread.sleep(1000);
            }
            run.record.line("the process runs: " + gateway.alive() + ", is ready: " + gateway.ready());
        }
        run.say("outcomes " + outcomes);
        run.say("unanswered at the route's timeout: " + unanswered.size());
        run.say("without an answer half a second later: " + unansweredLater);
        return unansweredLater.size() >= 2 && unansweredLater.size() * 2 > unanswered.size();
    }

    private void request(Run run, Gateway gateway, String id, int size) {
        String outcome;
        long sentAt = System.nanoTime();
        try (Client client = new Client(gateway.callerPort)) {
            run.record.line("client sends " + id + " with a body of " + size + " bytes");
            client.send(
                    "POST",
                    "/cert/1",
                    Map.of(
                            "host", Site.HOST,
                            "tarragonlug-request-id", id,
                            "tarragonlug-deadline-ms", Integer.toString(TIME_BUDGET_MILLIS)),
                    new byte[size]);
            sentAt = System.nanoTime();
            outcome = "status " + client.readAnswer(TIME_BUDGET_MILLIS).status();
        } catch (java.net.SocketTimeoutException silent) {
            outcome = "no answer";
        } catch (Exception failure) {
            outcome = "connection ended: " + failure.getMessage();
        }
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        run.record.line("client got " + id + ": " + outcome + ", " + millis + " ms after the last byte");
        synchronized (this) {
            outcomes.merge(outcome, 1, Integer::sum);
            if (millis > ROUTE_TIMEOUT_MILLIS) {
                unanswered.add(id);
            }
            if (millis > ROUTE_TIMEOUT_MILLIS + HALF_A_SECOND) {
                unansweredLater.add(id);
            }
        }
    }
}
