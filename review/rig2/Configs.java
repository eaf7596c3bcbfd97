package rig2;

/** Configurations like that of kvt-monsoon, with shorter work. */
final class Configs {
    static final String HOST = "desk.example";
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String[] ZONES = {"gyor-a", "tatab-b", "buda-c"};

    static final String DIGEST = route("complaint-digest", "streaming", 12_000, 0, 2, true,
        "{\"service\":\"invoice-run\",\"after\":[],\"size_bytes\":800000}");
    static final String DRAFT = route("match-draft", "streaming", 15_000, 1, 1, false,
        "{\"service\":\"invoice-run\",\"after\":[],\"size_bytes\":8000},{\"service\":\"dispatch-plan\",\"after\":[0],\"size_bytes\":60000},"
            + "{\"service\":\"legacy-bridge\",\"after\":[1],\"size_bytes\":6000}");
    static final String TAG = route("catalogue-tag", "streaming", 6_000, 2, 2, true,
        "{\"service\":\"invoice-run\",\"after\":[],\"size_bytes\":800000},{\"service\":\"invoice-run\",\"after\":[],\"size_bytes\":8000},"
            + "{\"service\":\"dispatch-plan\",\"after\":[1],\"size_bytes\":60000},"
            + "{\"service\":\"legacy-bridge\",\"after\":[2],\"size_bytes\":6000}");
    static final String RESERVE = route("stock-reserve", "unsafe", 1_500, 2, 1, false, null);
    static final String LOOKUP = route("stock-lookup", "safe", 1_500, 2, 2, false, null);

    private Configs() {
    }

    /** Returns a route named like the first part of its prefix; {@code stages} is null if it has none. */
    static String route(String name, String type, int timeoutMs, int priority, int attempts, boolean isResumable, String stages) {
        boolean isStream = type.equals("streaming");
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"route_type\":\"" + type
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + (isStream ? 2_300 : 386) + ",\"priority\":" + priority
            + ",\"service\":\"" + (isStream ? "model-pool" : "order-desk") + "\",\"max_attempts\":" + attempts
            + ",\"public\":false,\"sticky\":" + isStream
            + (isStream ? ",\"resumable\":" + isResumable + ",\"target_gap_ms\":300" : "")
            + (stages == null ? "" : ",\"stages\":[" + stages + "]") + "}";
    }

    /** Returns the configuration of the given version with the given routes. */
    static String config(int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + "{\"name\":\"model-pool\"," + COMMON + ",\"max_connections\":500,\"engine\":{\"slots\":128,\"kv_capacity_tokens\":843587,"
            + "\"kv_token_bytes\":18432,\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,"
            + "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"order-desk\"," + COMMON + ",\"max_connections\":48},"
            + stage("invoice-run", 14, 16.625) + "," + stage("dispatch-plan", 31, 3.444) + "," + stage("legacy-bridge", 49, 0.53375)
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    private static final String COMMON =
        "\"health_path\":\"/healthz\",\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0";

    private static String stage(String name, int batch, double headroomMb) {
        return "{\"name\":\"" + name + "\"," + COMMON + ",\"max_connections\":500,\"segments\":{\"slots\":1,\"queue\":2,\"batch\":" + batch
            + ",\"call_ms\":60.0,\"item_ms\":4.0,\"headroom_mb\":" + headroomMb + ",\"handle_s\":4.0,\"link_mbps\":10000}}";
    }

    /** Returns a request; {@code more} holds further header lines, each with its end, and {@code body} is null if it has none. */
    static byte[] request(String method, String path, String id, long deadlineMs, String more, String body) {
        return Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Bearer " + KEY
            + "\r\nMonsoonpath-Request-Id: " + id + "\r\nMonsoonpath-Deadline-Ms: " + deadlineMs + "\r\n" + more
            + (body == null ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body));
    }

    /** Returns the header lines of a request to an engine with the given numbers of pieces. */
    static String engineHeaders(String id, String pieces, String key) {
        return "Monsoonpath-Model: m\r\nMonsoonpath-Token-Count: 600,20\r\nMonsoonpath-Prompt-Prefix: 5c1e07a2:100," + id
            + ":500\r\nMonsoonpath-Chunk-Count: " + pieces + "\r\nMonsoonpath-Chunk-Key: " + key + "\r\n";
    }
}
