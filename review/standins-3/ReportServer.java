import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.misc.JsonTree;

/** A sound server of an application service, which answers with short records or long reports. */
final class ReportServer extends LoopbackServer {
    static final String REPORT_PATH = "/progress/report";

    /** As long as the longest body that callers may send. */
    static final int REPORT_BYTES = 4_194_304;

    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 15;

    private final String id;
    private final Record record;

    ReportServer(String id, String service, String zone, StoreStandIn store, Record record)
            throws IOException {
        this.id = id;
        this.record = record;
        listen();
        ObjectNode entry = JsonTree.object();
        entry.put("service", service);
        entry.put("address", address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", SLOTS);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("born", System.currentTimeMillis());
        entry.put("seq", 1);
        store.put("servers", id, entry);
    }

    @Override
    void answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("tarragonlug-request-id", "");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Tarragonlug-Request-Id", requestId);
        headers.put("Tarragonlug-Instance-Id", id);
        if (!request.header("tarragonlug-expect-instance", id).equals(id)) {
            HttpMessage.writeAnswer(out, 421, headers, new byte[0]);
            return;
        }
        record.write(id, "runs " + requestId + " " + request.word(1));
        Thread.sleep(WORK_MILLIS);
        headers.put("Tarragonlug-Response-Seal", "seal." + requestId);
        headers.put("Tarragonlug-Server-Load", "1,0," + SLOTS);
        HttpMessage.writeAnswer(out, 200, headers, body(request.word(1)));
        record.write(id, "answered " + requestId);
    }

    private static byte[] body(String target) {
        if (!target.startsWith(REPORT_PATH)) {
            return "a record".getBytes(StandardCharsets.UTF_8);
        }
        byte[] report = new byte[REPORT_BYTES];
        Arrays.fill(report, (byte) 'r');
        return report;
    }
}
