package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One of two servers is in trouble: in one of fifty streams, after five events, its body goes on with
 * bytes that are no answer, without end. The streams may be resumed at the other server.
 */
final class EndlessBody {
    private static final int SPOILT_OF = 50;
    private static final int REQUESTS = 400;
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int EVENTS = 14;
    private static final int EVENT_PAUSE_MILLIS = 30;
    private static final int EVENTS_BEFORE_TROUBLE = 5;

    private static final class TroubledServer extends EngineServer {
        private final AtomicInteger streams = new AtomicInteger();
        private final boolean trouble;

        TroubledServer(Run run, Store store, String zone, String id) throws Exception {
            super(store, run.record, zone, id, 64, EVENTS, EVENT_PAUSE_MILLIS);
            trouble = run.trouble;
        }

        @Override
        void stream(String request, int last, OutputStream out) throws Exception {
            if (!trouble || last > 0 || streams.incrementAndGet() % SPOILT_OF != 0) {
                super.stream(request, last, out);
                return;
            }
            sendHead(request, out);
            for (int event = 1; event <= EVENTS_BEFORE_TROUBLE; event++) {
                sendEvent(event, request, out);
            }
            record.line("server " + id + " sends bytes that are no answer in the body of " + request);
            Random random = new Random(7);
            byte[] noise = new byte[4096];
            long sent = 0;
            try {
                while (true) {
                    random.nextBytes(noise);
                    out.write((Integer.toHexString(noise.length) + "\r\n").getBytes());
                    out.write(noise);
                    out.write("\r\n".getBytes());
                    sent += noise.length;
                }
            } finally {
                record.line("server " + id + " sees the close of " + request + " after " + sent + " bytes");
            }
        }
    }

    private final List<String> broken = new ArrayList<>();

    private EndlessBody() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "ORDER", run -> new EndlessBody().breaks(run));
    }

    private boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        EngineServer first = new TroubledServer(run, store, "lima-a", "i-engine1");
        first.hold("m0");
        first.start();
        EngineServer second =
                new EngineServer(store, run.record, "lima-b", "i-engine2", 64, EVENTS, EVENT_PAUSE_MILLIS);
        second.hold("m0");
        second.start();
        try (Gateway gateway = run.gateway("edge-lima-a-1", "lima-a", store.listener.address())) {
            Thread.sleep(3000);
            List<Thread> requests = new ArrayList<>();
            for (int number = 1; number <= REQUESTS; number++) {
                String id = "ask-" + number;
                Thread request = new Thread(() -> ask(run, gateway, id));
                request.start();
                requests.add(request);
                Thread.sleep(1000 / REQUESTS_PER_SECOND);
            }
            for (Thread each : requests) {
                each.join();
            }
        }
        broken.forEach(run::say);
        return !broken.isEmpty();
    }

    /** Asks a question, and checks that its pieces come once each and in their order. */
    private void ask(Run run, Gateway gateway, String id) {
        StringBuilder stream = new StringBuilder();
        String end;
        try (Client client = new Client(gateway.callerPort)) {
            run.record.line("client sends " + id);
            client.send(
                    "POST",
                    "/ask/1",
                    Map.of(
                            "host", Site.HOST,
                            "tarragonlug-request-id", id,
                            "tarragonlug-model", "m0",
                            "tarragonlug-token-count", "646,70",
                            "tarragonlug-prompt-prefix", "5c1e07a2:155," + Integer.toHexString(id.hashCode()) + ":491",
                            "tarragonlug-deadline-ms", "6000"),
                    new byte[1300]);
            end = client.readStream(8000, stream);
        } catch (Exception failure) {
            end = failure.toString();
        }
        List<Integer> pieces = new ArrayList<>();
        Matcher ids = Pattern.compile("id: (\\d+)\ndata: part \\d+ of " + id + "\n\n").matcher(stream);
        while (ids.find()) {
            pieces.add(Integer.parseInt(ids.group(1)));
        }
        run.record.line("client got " + id + ": pieces " + pieces + ", " + stream.length() + " bytes, " + end);
        for (int index = 0; index < pieces.size(); index++) {
            if (pieces.get(index) != index + 1) {
                synchronized (this) {
                    broken.add(id + ": pieces " + pieces + ", " + stream.length() + " bytes, " + end);
                }
                return;
            }
        }
    }
}
