import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tarragonlug.misc.JsonTree;

/** The platform's store: revisions, conditional writes, lists and watches. */
final class StoreStandIn extends LoopbackServer {
    private static final String PREFIX = "/tarragonlug/objects/";

    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Record record;
    private long revision = 100;

    StoreStandIn(Record record) throws IOException {
        this.record = record;
        listen();
    }

    /** Writes an object unconditionally, as the operator and the servers do. */
    synchronized long put(String kind, String name, JsonNode spec) {
        ObjectNode before = kind(kind).get(name);
        if (before != null && before.path("spec").equals(spec)) {
            return before.path("metadata").path("revision").asLong();
        }
        revision++;
        ObjectNode object = JsonTree.object();
        object.putObject("metadata")
                .put("name", name)
                .put("revision", revision)
                .put("created", before == null ? revision : created(before))
                .put("deleting", false)
                .putArray("finalizers");
        object.set("spec", spec);
        object.putNull("status");
        kind(kind).put(name, object);
        onChange(new Change(revision, kind, object, false));
        return revision;
    }

    private static long created(ObjectNode object) {
        return object.path("metadata").path("created").asLong();
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return objects.computeIfAbsent(kind, each -> new TreeMap<>());
    }

    private void onChange(Change change) {
        history.add(change);
        notifyAll();
    }

    synchronized JsonNode read(String kind, String name) {
        ObjectNode object = kind(kind).get(name);
        return object == null ? JsonTree.object() : object.path("spec");
    }

    @Override
    void answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        Reply reply = execute(request);
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        byte[] body = reply.body == null ? new byte[0] : JsonTree.bytes(reply.body);
        HttpMessage.writeAnswer(out, reply.status, headers, body);
    }

    private record Reply(int status, JsonNode body) {}

    private synchronized Reply execute(HttpMessage request)
            throws IOException, InterruptedException {
        String[] target = request.word(1).split("\\?", 2);
        String[] path = target[0].substring(PREFIX.length()).split("/");
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String name = path.length > 1 ? path[1] : "";
        return switch (request.word(0)) {
            case "GET" -> name.isEmpty() ? listOrWatch(path[0], query) : get(path[0], name);
            case "POST" -> create(path[0], JsonTree.read(request.body()));
            case "PUT" -> replace(path[0], name, JsonTree.read(request.body()));
            default -> new Reply(405, null);
        };
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return query;
    }

    private Reply get(String kind, String name) {
        ObjectNode object = kind(kind).get(name);
        return object == null ? new Reply(404, null) : new Reply(200, object);
    }

    private Reply create(String kind, JsonNode body) {
        String name = body.path("metadata").path("name").asText();
        ObjectNode present = kind(kind).get(name);
        return present != null ? new Reply(409, present) : write(kind, name, body, 201);
    }

    private Reply replace(String kind, String name, JsonNode body) {
        ObjectNode present = kind(kind).get(name);
        if (present == null) {
            return new Reply(404, null);
        }
        JsonNode expected = body.path("metadata").path("revision");
        boolean differs =
                !expected.isMissingNode()
                        && expected.asLong() != present.path("metadata").path("revision").asLong();
        return differs ? new Reply(409, present) : write(kind, name, body, 200);
    }

    private Reply write(String kind, String name, JsonNode body, int status) {
        put(kind, name, body.path("spec"));
        record.write("store", kind + "/" + name + " " + body.path("spec"));
        return new Reply(status, kind(kind).get(name));
    }

    private Reply listOrWatch(String kind, Map<String, String> query)
            throws InterruptedException {
        if (query.containsKey("watch")) {
            return watch(kind, query);
        }
        ObjectNode body = JsonTree.object();
        ArrayNode items = body.putArray("items");
        kind(kind).tailMap(query.getOrDefault("after", ""), false).values().forEach(items::add);
        body.put("has_more", false);
        body.put("as_of", revision);
        return new Reply(200, body);
    }

    private Reply watch(String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            ArrayNode events = events(kind, after);
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                ObjectNode body = JsonTree.object();
                body.set("events", events);
                body.put("as_of", revision);
                return new Reply(200, body);
            }
            wait(leftMillis);
        }
    }

    private ArrayNode events(String kind, long after) {
        ArrayNode events = JsonTree.object().putArray("events");
        for (Change change : history) {
            if (change.revision > after && change.kind.equals(kind)) {
                ObjectNode event = events.addObject();
                event.set("object", change.object);
                event.put("deleted", change.deleted);
            }
        }
        return events;
    }
}
