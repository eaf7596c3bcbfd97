import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requests with letters beyond ASCII in the path and the query; the rule UNASKED. */
final class PathBytes {
    private static final int REQUESTS = 15;

    private PathBytes() {}

    public static void main(String[] args) {
        Rig.main(args[0], PathBytes::run);
    }

    private static boolean run(boolean withTrouble) throws Exception {
        String host = Rig.freeHost(9464);
        Store store = Rig.closing(new Store(host));
        store.put("op/config", Traffic.config(7));
        Map<String, String> targets = new ConcurrentHashMap<>();
        for (int i = 1; i <= 3; i++) startWorker("i-" + i, host, store, targets);
        Entry entry = Entry.start(2, store).get(0);
        Rig.sleep(3_000);
        // The characters of the string are the bytes that are sent.
        String letters = new String("/post/rendel\u00e9s?v\u00e1ros=Gy\u0151r".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        String target = withTrouble ? letters : "/post/rendel%C3%A9s?v%C3%A1ros=Gy%C5%91r";
        List<String> changed = Collections.synchronizedList(new ArrayList<>());
        int served = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            String id = String.format("%016x", 0x14da6f3900000000L + i);
            try (Client client = new Client(entry.host, entry.callerPort)) {
                Client.Result result = client.send("POST", target, List.of("Host: desk.example", "Monsoonpath-Request-Id: " + id,
                    "Monsoonpath-Deadline-Ms: 1500", "Authorization: Bearer k-shop"), "a posting", 3_000);
                String ran = targets.get(id);
                if (result.status == 200) served++;
                if (ran != null && !ran.equals(target)) changed.add(id);
                Rig.note("consumer: " + id + " sent " + hex(target) + ", " + result + ", ran " + (ran == null ? "nowhere" : hex(ran)));
            }
        }
        Rig.say(REQUESTS + " requests, " + served + " served, " + changed.size() + " run with another path or query; sent " + hex(target)
            + (changed.isEmpty() ? "" : ", ran " + hex(targets.get(changed.get(0)))));
        if (!withTrouble && served == 0) throw new IllegalStateException("no request was served");
        return !changed.isEmpty();
    }

    private static void startWorker(String id, String host, Store store, Map<String, String> targets) throws IOException {
        Http.Server server = Rig.closing(new Http.Server(host, Rig.freePort(host), (request, channel) -> {
            String requestId = request.header("monsoonpath-request-id");
            targets.put(requestId, request.target());
            channel.answer(200, List.of("Monsoonpath-Request-Id: " + requestId, "Monsoonpath-Response-Signature: " + id + "." + requestId,
                "Keep-Alive: timeout=5"), "done " + requestId);
            return true;
        }));
        store.put("servers/" + id, "{\"service\":\"desk\",\"address\":\"" + host + ":" + server.port
            + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
            + System.currentTimeMillis() + "}");
    }

    /** Returns [text] with the bytes that are no printable ASCII as hexadecimal numbers. */
    private static String hex(String text) {
        StringBuilder shown = new StringBuilder();
        for (char c : text.toCharArray()) shown.append(c > ' ' && c < 0x7f ? String.valueOf(c) : String.format("\\x%02X", (int) c));
        return shown.toString();
    }
}
