package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Desired states like those of a small deployment. */
final class Site {
    static final String HOST = "aula.example";
    static final String ENGINES = "tutor-models";
    static final String PLAIN = "aula-app";

    private Site() {}

    static Map<String, Object> route(
            String name, String prefix, String kind, int timeout, int target, String service, int attempts) {
        return Json.of(
                "name", name, "host", HOST, "path_prefix", prefix, "kind", kind,
                "timeout_ms", timeout, "target_latency_ms", target, "priority", 0,
                "service", service, "max_attempts", attempts,
                "session_affinity", kind.equals("streaming"), "resumable", false,
                "gap_target_ms", kind.equals("streaming") ? 400 : 0);
    }

    /** The routes of the sheet: a certificate, a progress read, an assessment and a question as streams. */
    static Map<String, Object> desiredState(int version, List<Map<String, Object>> models) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("r-cert", "/cert/", "non_idempotent", 1500, 121, PLAIN, 1));
        routes.add(route("r-progress", "/progress/", "idempotent", 1500, 121, PLAIN, 2));
        routes.add(route("r-assess", "/assess/", "streaming", 17000, 3000, ENGINES, 1));
        Map<String, Object> ask = route("r-ask", "/ask/", "streaming", 6000, 400, ENGINES, 2);
        ask.put("resumable", true);
        routes.add(ask);
        Map<String, Object> engine =
                Json.of(
                        "slots", 64, "kv_tokens", 232000, "kv_token_bytes", 327680,
                        "link_mbps", 1100000.0, "moves", true, "backups", true, "stride", 5,
                        "max_count", 12, "host_mb", 130000.0, "disk_mb", 1100000.0,
                        "pin_ms", 4000.0, "hold_ms", 2000.0, "handle_s", 5.0, "models", models,
                        "weights_mb", 200000.0, "adapter_slots", 8, "loads_per_s", 3.8);
        List<Object> services =
                List.of(
                        Json.of(
                                "name", ENGINES, "health_path", "/health", "max_conns", 370,
                                "protocol", "h1", "tls", false, "engine", engine),
                        Json.of(
                                "name", PLAIN, "health_path", "/health", "max_conns", 110,
                                "protocol", "h1", "tls", false));
        return Json.of(
                "version", version, "routes", routes, "services", services,
                "limits",
                        Json.of(
                                "max_header_bytes", 16384, "max_body_bytes", 4194304,
                                "header_timeout_ms", 3000, "idle_timeout_ms", 15000));
    }

    static Map<String, Object> model(String name, int adapters) {
        return Json.of(
                "name", name, "weights_mb", 65500.0, "load_s", 6.0, "adapters", adapters,
                "adapter_mb", 40.0, "warm_s", 0.38, "disk_s", 1.0);
    }
}
