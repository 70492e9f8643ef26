package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: objects with revisions, conditional writes, lists and watches.
 * It can be away for a moment and come back from a copy of an earlier state.
 */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE = 500;

    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    /** The state at one moment. Stored objects are never changed, only replaced. */
    private record State(
            Map<String, TreeMap<String, ObjectNode>> objects,
            List<Change> history,
            long revision) {
        State copy() {
            Map<String, TreeMap<String, ObjectNode>> copied = new TreeMap<>();
            objects.forEach((kind, each) -> copied.put(kind, new TreeMap<>(each)));
            return new State(copied, new ArrayList<>(history), revision);
        }
    }

    private final HttpNode node;
    private Map<String, TreeMap<String, ObjectNode>> objects = new TreeMap<>();
    private List<Change> history = new ArrayList<>();
    private long revision = 100;
    private int era = 1;
    private boolean away;
    private State copy;

    Store() throws IOException {
        node = new HttpNode(this::handle);
    }

    String address() {
        return node.address();
    }

    synchronized long revision() {
        return revision;
    }

    /** Takes the copy from which {@link #comeBack} restores. */
    synchronized long takeCopy() {
        copy = new State(objects, history, revision).copy();
        return revision;
    }

    /** Resets all connections and refuses new ones. */
    void goAway() {
        synchronized (this) {
            away = true;
            notifyAll();
        }
        node.goAway();
    }

    /** Comes back with what the copy holds. */
    void comeBack() throws IOException {
        synchronized (this) {
            State restored = copy.copy();
            objects = restored.objects();
            history = restored.history();
            revision = restored.revision();
            era++;
            away = false;
        }
        node.comeBack();
    }

    /** Writes an object as the operator or a server does. Returns its revision; 0 if away. */
    synchronized long put(String kind, String name, JsonNode spec) {
        if (away) {
            return 0;
        }
        ObjectNode present = kind(kind).get(name);
        if (present != null && present.get("spec").equals(spec)) {
            return present.get("metadata").get("revision").asLong();
        }
        return store(kind, name, spec).get("metadata").get("revision").asLong();
    }

    /** Removes an object as a server's lapse does. */
    synchronized void remove(String kind, String name) {
        ObjectNode removed = away ? null : kind(kind).remove(name);
        if (removed != null) {
            revision++;
            history.add(new Change(revision, kind, removed, true));
            notifyAll();
        }
    }

    /** Returns the content of an object; null if there is none. */
    synchronized JsonNode get(String kind, String name) {
        ObjectNode found = kind(kind).get(name);
        return found == null ? null : found.get("spec");
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return objects.computeIfAbsent(kind, each -> new TreeMap<>());
    }

    private ObjectNode store(String kind, String name, JsonNode spec) {
        revision++;
        ObjectNode before = kind(kind).get(name);
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put(
                "created",
                before == null ? revision : before.get("metadata").get("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        kind(kind).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void handle(HttpNode.Exchange exchange) throws Exception {
        HttpNode.Reply reply = answer(exchange.request());
        if (reply == null) {
            exchange.close();
        } else {
            exchange.reply(reply);
        }
    }

    private synchronized HttpNode.Reply answer(HttpNode.Request request) throws Exception {
        if (away) {
            return null;
        }
        String[] path = request.path().split("/");
        if (path.length < 4 || !path[2].equals("objects")) {
            return reply(404, null);
        }
        String kind = decode(path[3]);
        String name = path.length > 4 ? decode(path[4]) : null;
        return switch (request.method()) {
            case "GET" ->
                    name != null
                            ? read(kind, name)
                            : request.query("watch") != null
                                    ? watch(kind, request)
                                    : list(kind, request);
            case "POST" -> create(kind, JSON.readTree(request.body()));
            case "PUT" -> replace(kind, name, JSON.readTree(request.body()));
            case "DELETE" -> delete(kind, name, request);
            default -> reply(405, null);
        };
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private HttpNode.Reply read(String kind, String name) throws Exception {
        ObjectNode found = kind(kind).get(name);
        return found == null ? reply(404, null) : reply(200, found);
    }

    private HttpNode.Reply list(String kind, HttpNode.Request request) throws Exception {
        String after = request.query("after") == null ? "" : decode(request.query("after"));
        ObjectNode body = JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        for (ObjectNode each : kind(kind).tailMap(after, false).values()) {
            if (items.size() < PAGE) {
                items.add(each);
            }
        }
        body.put("has_more", kind(kind).tailMap(after, false).size() > PAGE);
        body.put("as_of", revision);
        return reply(200, body);
    }

    private HttpNode.Reply watch(String kind, HttpNode.Request request) throws Exception {
        long after = Long.parseLong(request.query("watch"));
        long wait = request.query("wait_ms") == null ? 0 : Long.parseLong(request.query("wait_ms"));
        if (after > revision) {
            return reply(410, null);
        }
        int startEra = era;
        long end = System.nanoTime() + wait * 1_000_000;
        while (true) {
            if (away || era != startEra) {
                return null;
            }
            ArrayNode events = JSON.createArrayNode();
            for (Change change : history) {
                if (change.revision() > after && change.kind().equals(kind)) {
                    ObjectNode event = events.addObject();
                    event.set("object", change.object());
                    event.put("deleted", change.deleted());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (events.size() > 0 || left <= 0) {
                ObjectNode body = JSON.createObjectNode();
                body.set("events", events);
                body.put("as_of", revision);
                return reply(200, body);
            }
            wait(left);
        }
    }

    private HttpNode.Reply create(String kind, JsonNode body) throws Exception {
        String name = body.path("metadata").path("name").asText();
        ObjectNode present = kind(kind).get(name);
        return present != null
                ? reply(409, present)
                : reply(201, store(kind, name, body.path("spec")));
    }

    private HttpNode.Reply replace(String kind, String name, JsonNode body) throws Exception {
        ObjectNode present = kind(kind).get(name);
        if (present == null) {
            return reply(404, null);
        }
        JsonNode expected = body.path("metadata").path("revision");
        if (expected.isNumber()
                && expected.asLong() != present.get("metadata").get("revision").asLong()) {
            return reply(409, present);
        }
        if (present.get("spec").equals(body.path("spec"))) {
            return reply(200, present);
        }
        return reply(200, store(kind, name, body.path("spec")));
    }

    private HttpNode.Reply delete(String kind, String name, HttpNode.Request request)
            throws Exception {
        ObjectNode present = kind(kind).get(name);
        if (present == null) {
            return reply(404, null);
        }
        String expected = request.query("revision");
        if (expected != null
                && Long.parseLong(expected) != present.get("metadata").get("revision").asLong()) {
            return reply(409, present);
        }
        remove(kind, name);
        return reply(200, present);
    }

    private HttpNode.Reply reply(int status, JsonNode body) throws Exception {
        byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
        return new HttpNode.Reply(
                status,
                Map.of(
                        "Content-Type",
                        "application/json",
                        "Store-Era",
                        Integer.toString(era)),
                bytes);
    }

    @Override
    public void close() {
        goAway();
    }
}
