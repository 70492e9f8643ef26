import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.tarragonlug.misc.JsonTree;

/** Some callers read their answers slowly, while others ask for short records. */
final class SlowReadersTrial extends Trial {
    private static final String SERVICE = "aula-app";
    private static final int SLOW_READERS = 24;
    private static final long BETWEEN_READERS_MILLIS = 250;
    private static final int BUDGET_MILLIS = 8000;
    private static final int ROUTE_TIMEOUT_MILLIS = 1500;
    private static final int RECORD_CALLERS = 4;
    private static final long RECORD_PAUSE_MILLIS = 400;

    /** Half a second after the timeout of the route, and a bit for this process. */
    private static final int LATEST_ANSWER_MILLIS = ROUTE_TIMEOUT_MILLIS + 700;

    private static final int FEWEST_UNANSWERED = 5;

    private static final int SLOW_READ_BYTES = 2048;
    private static final long SLOW_READ_PAUSE_MILLIS = 50;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger answeredLate = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger wholeReports = new AtomicInteger();

    private SlowReadersTrial(Path folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        new SlowReadersTrial(Path.of(arguments[0])).run();
    }

    @Override
    int play() throws IOException, InterruptedException {
        store.put("config", "main", configuration());
        for (int index = 0; index < 3; index++) {
            new ReportServer("p-" + index, SERVICE, "lima-a", store, record);
        }
        startGateways(1);
        startCallers(RECORD_CALLERS, RECORD_PAUSE_MILLIS, this::askForRecord);
        Thread.sleep(6000);
        record.state("before the reports:" + counts());
        for (int number = 0; number < SLOW_READERS; number++) {
            String id = "report-" + number;
            LoopbackServer.startThread(() -> readReport(id));
            Thread.sleep(BETWEEN_READERS_MILLIS);
        }
        Thread.sleep(20_000);
        stopCallers();
        Thread.sleep(LATEST_ANSWER_MILLIS);
        return judge();
    }

    private static ObjectNode configuration() {
        ObjectNode configuration = JsonTree.object();
        configuration.put("version", 3);
        ArrayNode routes = configuration.putArray("routes");
        routes.add(route("/progress/", BUDGET_MILLIS));
        routes.add(route("/records/", ROUTE_TIMEOUT_MILLIS));
        ObjectNode service = configuration.putArray("services").addObject();
        service.put("name", SERVICE);
        service.put("health_path", "/health");
        service.put("max_conns", 110);
        return configuration;
    }

    private static ObjectNode route(String prefix, int timeoutMillis) {
        ObjectNode route = JsonTree.object();
        route.put("name", "route" + prefix.replace("/", "-"));
        route.put("host", HOST);
        route.put("path_prefix", prefix);
        route.put("kind", "idempotent");
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 121);
        route.put("priority", 2);
        route.put("service", SERVICE);
        route.put("max_attempts", 2);
        return route;
    }

    private static Map<String, String> headers(String id, int budgetMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Tarragonlug-Request-Id", id);
        headers.put("Tarragonlug-Deadline-Ms", Integer.toString(budgetMillis));
        return headers;
    }

    private void askForRecord(int caller, int round) {
        String id = "record-" + caller + "-" + round;
        record.write("caller", "sends " + id);
        long start = System.nanoTime();
        Caller.Answer answer =
                Caller.send(
                        gateways.get(0).callerPort(),
                        "GET",
                        "/records/x",
                        headers(id, 2 * ROUTE_TIMEOUT_MILLIS),
                        new byte[0],
                        LATEST_ANSWER_MILLIS);
        long millis = (System.nanoTime() - start) / 1_000_000L;
        if (answer.status() == 0) {
            unanswered.incrementAndGet();
            record.write("caller", id + " not answered after " + millis + " ms");
            return;
        }
        (millis > ROUTE_TIMEOUT_MILLIS ? answeredLate : answered).incrementAndGet();
        record.write("caller", id + " answered " + answer.status() + " after " + millis + " ms");
    }

    /** Asks for a report, and reads it slowly until the budget is used up, or at once. */
    private void readReport(String id) {
        record.write("caller", "sends " + id);
        long end = System.nanoTime() + BUDGET_MILLIS * 1_000_000L;
        int total = 0;
        try (Socket socket = new Socket()) {
            if (trouble) {
                socket.setReceiveBufferSize(2 * SLOW_READ_BYTES);
            }
            int port = gateways.get(0).callerPort();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setSoTimeout(BUDGET_MILLIS);
            String line = "GET " + ReportServer.REPORT_PATH + " HTTP/1.1";
            socket.getOutputStream().write(HttpMessage.head(line, headers(id, BUDGET_MILLIS)));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[trouble ? SLOW_READ_BYTES : ReportServer.REPORT_BYTES];
            int read = in.read(buffer);
            while (read > 0 && total < ReportServer.REPORT_BYTES && System.nanoTime() < end) {
                total += read;
                pause(trouble ? SLOW_READ_PAUSE_MILLIS : 0);
                read = in.read(buffer);
            }
        } catch (IOException ended) {
            record.write("caller", id + " ended: " + ended);
        }
        if (total >= ReportServer.REPORT_BYTES) {
            wholeReports.incrementAndGet();
        }
        record.write("caller", id + " has read " + total + " bytes and leaves");
    }

    private String counts() {
        return " records answered before the timeout of their route: "
                + answered
                + ", after it: "
                + answeredLate
                + ", not answered half a second after it: "
                + unanswered;
    }

    /** Of the records that have no answer at the timeout, more than half have none later. */
    private int judge() throws IOException {
        gateways.get(0).describe();
        record.state("whole reports read: " + wholeReports + " of " + SLOW_READERS);
        record.state("in all:" + counts());
        if (answered.get() < RECORD_CALLERS) {
            return NOT_RUN;
        }
        boolean broken =
                unanswered.get() >= FEWEST_UNANSWERED && unanswered.get() > answeredLate.get();
        return broken ? BROKEN : HELD;
    }
}
