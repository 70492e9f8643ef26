package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store: objects, one revision counter, conditional writes, watches. */
final class Store {
    private record Change(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private static final String PREFIX = "/tarragonlug/objects/";

    final Listener listener;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 10;
    private int cuts;

    Store() throws IOException {
        listener = new Listener(this::serve);
    }

    synchronized void put(String kind, String name, Object spec) {
        revision++;
        Map<String, Object> metadata =
                Json.of(
                        "name", name, "revision", revision, "created", revision,
                        "finalizers", List.of(), "deleting", false);
        Map<String, Object> object = Json.of("metadata", metadata, "spec", spec, "status", null);
        objects(kind).put(name, object);
        changes.add(new Change(revision, kind, object, false));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> removed = objects(kind).remove(name);
        if (removed != null) {
            revision++;
            changes.add(new Change(revision, kind, removed, true));
            notifyAll();
        }
    }

    /** Cuts off the watches that wait now: their connections are closed without an answer. */
    synchronized void cutWatches() {
        cuts++;
        notifyAll();
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, each -> new TreeMap<>());
    }

    private static long revisionOf(Map<String, Object> object) {
        return (Long) Json.object(object.get("metadata")).get("revision");
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Message head = Message.readHead(in); head != null; head = Message.readHead(in)) {
            String body = new String(head.readBody(in), StandardCharsets.UTF_8);
            byte[] answer = answer(head, body);
            socket.getOutputStream().write(answer);
            socket.getOutputStream().flush();
        }
    }

    private static byte[] json(int status, Object body) {
        return Message.response(status, Map.of("content-type", "application/json"), Json.write(body));
    }

    private synchronized byte[] answer(Message head, String body) throws Exception {
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
        }
        String[] path = target[0].substring(PREFIX.length()).split("/");
        String kind = path[0];
        if (path.length == 1 && head.method().equals("GET")) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
        }
        Map<String, Object> object =
                body.isEmpty() ? Map.of() : Json.object(Json.parse(body));
        String name =
                path.length > 1
                        ? path[1]
                        : (String) Json.object(object.get("metadata")).get("name");
        Map<String, Object> found = objects(kind).get(name);
        switch (head.method()) {
            case "GET" -> {
                return found == null ? json(404, Map.of()) : json(200, found);
            }
            case "POST" -> {
                if (found != null) {
                    return json(409, found);
                }
                put(kind, name, object.get("spec"));
                return json(201, objects(kind).get(name));
            }
            case "PUT" -> {
                if (found == null) {
                    return json(404, Map.of());
                }
                Object expected = Json.object(object.get("metadata")).get("revision");
                if (expected != null && (Long) expected != revisionOf(found)) {
                    return json(409, found);
                }
                put(kind, name, object.get("spec"));
                return json(200, objects(kind).get(name));
            }
            default -> {
                remove(kind, name);
                return json(200, Map.of());
            }
        }
    }

    private byte[] list(String kind, Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        List<Object> items = new ArrayList<>(objects(kind).tailMap(after, false).values());
        return json(200, Json.of("items", items, "has_more", false, "as_of", revision));
    }

    private byte[] watch(String kind, Map<String, String> query) throws Exception {
        int cutsBefore = cuts;
        long after = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change each : changes) {
                if (each.revision() > after && each.kind().equals(kind)) {
                    events.add(Json.of("object", each.object(), "deleted", each.deleted()));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return json(200, Json.of("events", events, "as_of", revision));
            }
            wait(left);
            if (cuts != cutsBefore) {
                throw new IOException("the watch is cut off");
            }
        }
    }
}
