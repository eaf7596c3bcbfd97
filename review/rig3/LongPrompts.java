import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Model workers crash while requests with very many prompt parts, of legal size, wait there; the rule CONFIG, and a process that hangs. */
final class LongPrompts {
    /** The model workers, which stand in three zones. Those of one zone crash at the same moment and are back after some seconds. */
    private static final int ENGINES = 6;
    private static final int CRASHED_ENGINES = 2;
    private static final long DOWN_MS = 4_500;
    private static final int CROWD = 72;

    /** The parts of a prompt, out of the ids of which the crowd draws them. The head of a request has 15.9 KB then, of 16 KB allowed. */
    private static final int PARTS = 2_600;
    private static final int PART_IDS = 3_000;

    /** How long a model worker takes before the first event. */
    private static final long FIRST_EVENT_MS = 4_000;
    private static final int TIMEOUT_MS = 800;
    private static final int DEADLINE_MS = 1_500;
    private static final int CROWD_DEADLINE_MS = 8_000;
    private static final int LATE_MS = 500;
    private static final int WAIT_MS = 30_000;

    /** So many requests without a final answer in time, and more than half, break the rule. */
    private static final int MIN_LATE = 8;

    private static final AtomicInteger NUMBER = new AtomicInteger();
    private static volatile boolean isOver;

    private LongPrompts() {}

    public static void main(String[] args) {
        Rig.main(args[0], LongPrompts::run);
    }

    /** An ordinary request. */
    private record Ordinary(long sentAtMs, long tookMs, Client.Result result) {}

    private static boolean run(boolean withTrouble) throws Exception {
        String host = Rig.freeHost(9464);
        Store store = Rig.closing(new Store(host));
        store.put("op/config", config());
        List<Http.Server> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) engines.add(startEngine("g-" + i, host, store));
        for (int i = 1; i <= 3; i++) new Desk("i-" + i, host, store, "desk");
        List<Entry> entries = Entry.start(2, store);
        Rig.sleep(3_000);
        List<Ordinary> ordinary = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 120; i++) {
            Entry entry = entries.get(i % 2);
            Rig.start("ordinary consumer", () -> consume(entry, ordinary));
        }
        for (int i = 0; i < CROWD; i++) {
            Entry entry = entries.get(i % 2);
            Rig.start("crowd", () -> join(entry));
        }
        Rig.sleep(2_500);
        long crashedAtMs = Rig.nowMs();
        if (withTrouble) {
            for (int i = 0; i < CRASHED_ENGINES; i++) engines.get(i).down();
            Rig.say(CRASHED_ENGINES + " of " + ENGINES + " model workers crash");
            Rig.sleep(DOWN_MS);
            for (int i = 0; i < CRASHED_ENGINES; i++) {
                engines.get(i).listen();
                register("g-" + (i + 1), engines.get(i), store);
            }
        }
        Rig.sleepUntil(crashedAtMs + 15_000);
        isOver = true;
        Rig.sleep(3_000);
        for (Entry entry : entries) entry.noteLog("instance.", "internal.error", "backend.crashed", "members.", "quarantine", "backend.removed");
        return judge(ordinary, crashedAtMs, entries);
    }

    private static String config() {
        String route = "\"priority\":1,\"public\":false,\"max_attempts\":1,\"stages\":[]";
        return "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"draft.example\",\"prefix\":\"/draft/\",\"route_type\":\"streaming\","
            + "\"timeout_ms\":15000,\"target_latency_ms\":2300,\"service\":\"gen\",\"sticky\":true,\"resumable\":false,"
            + "\"target_gap_ms\":300," + route + "},{\"name\":\"r-post\",\"host\":\"desk.example\",\"prefix\":\"/post/\","
            + "\"route_type\":\"unsafe\",\"timeout_ms\":" + TIMEOUT_MS + ",\"target_latency_ms\":386,\"service\":\"desk\"," + route + "}],"
            + "\"services\":[{\"name\":\"gen\",\"health_path\":\"/healthz\",\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":3.0,\"cold_per_s\":24.0,\"engine\":{\"slots\":128,\"kv_capacity_tokens\":843587,"
            + "\"kv_token_bytes\":18432,\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"handle_s\":5.0,"
            + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":48,"
            + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"k-shop\"],\"priority\":1}]}";
    }

    /** Starts a model worker that answers with one event after some time. */
    private static Http.Server startEngine(String id, String host, Store store) throws IOException {
        Http.Server server = Rig.closing(new Http.Server(host, Rig.freePort(host), (request, channel) -> {
            String requestId = request.header("monsoonpath-request-id");
            Rig.note(id + ": runs " + requestId);
            Rig.sleep(FIRST_EVENT_MS);
            channel.answer(200, List.of("Content-Type: text/event-stream", "Monsoonpath-Request-Id: " + requestId,
                "Monsoonpath-Response-Signature: " + id + "." + requestId, "Monsoonpath-Server-Load: 1,0,128",
                "Monsoonpath-Weight-Versions: 1", "Keep-Alive: timeout=5"), "id: 1\ndata: " + requestId + "\n\n");
            return true;
        }));
        register(id, server, store);
        return server;
    }

    private static void register(String id, Http.Server server, Store store) {
        store.put("servers/" + id, "{\"service\":\"gen\",\"address\":\"" + server.host + ":" + server.port + "\",\"zone\":\"z-" + "abc".charAt((Integer.parseInt(id.substring(2)) - 1) / CRASHED_ENGINES)
            + "\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
    }

    /** One member of the crowd: prompts of parts that others have, too, and a last part of its own. */
    private static void join(Entry entry) throws Exception {
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < PART_IDS; i++) ids.add(0x100 + i);
        while (!isOver) {
            int n = NUMBER.incrementAndGet();
            Collections.shuffle(ids, ThreadLocalRandom.current());
            StringBuilder prompt = new StringBuilder();
            for (int part : ids.subList(0, PARTS)) prompt.append(Integer.toHexString(part)).append(":1,");
            prompt.append(Integer.toHexString(0x100000 + n)).append(":20");
            String id = String.format("%016x", 0x6a01000000000000L + n);
            try (Client client = new Client(entry.host, entry.callerPort)) {
                Client.Result result = client.send("POST", "/draft/x", List.of("Host: draft.example", "Monsoonpath-Request-Id: " + id,
                    "Monsoonpath-Model: m", "Monsoonpath-Token-Count: 2400,40", "Monsoonpath-Prompt-Prefix: " + prompt,
                    "Monsoonpath-Deadline-Ms: " + CROWD_DEADLINE_MS, "Authorization: Bearer k-shop"), "a draft", 20_000);
                Rig.note("crowd: " + id + " " + result);
                if (result.status != 200) Rig.sleep(1_000);
            } catch (IOException e) {
                Rig.sleep(1_000);
            }
        }
    }

    private static void consume(Entry entry, List<Ordinary> ordinary) throws Exception {
        Client client = null;
        Rig.sleep(ThreadLocalRandom.current().nextInt(1_000));
        while (!isOver) {
            String id = String.format("%016x", 0x14da000000000000L + NUMBER.incrementAndGet());
            long sentAtMs = Rig.nowMs();
            Client.Result result;
            try {
                if (client == null) client = new Client(entry.host, entry.callerPort);
                result = client.send("POST", "/post/x", List.of("Host: desk.example", "Monsoonpath-Request-Id: " + id,
                    "Monsoonpath-Deadline-Ms: " + DEADLINE_MS, "Authorization: Bearer k-shop"), "a posting", WAIT_MS);
            } catch (IOException e) {
                result = new Client.Result();
                result.end = "no channel: " + e.getMessage();
            }
            long tookMs = Rig.nowMs() - sentAtMs;
            ordinary.add(new Ordinary(sentAtMs, tookMs, result));
            Rig.note("consumer: " + id + " to " + entry.name + " " + result + ", after " + tookMs + " ms");
            if (!Client.isKept(result)) {
                if (client != null) client.close();
                client = null;
            }
            Rig.sleep(1_000);
        }
    }

    private static boolean judge(List<Ordinary> ordinary, long crashedAtMs, List<Entry> entries) throws IOException {
        int served = 0;
        int overTime = 0;
        int late = 0;
        long longestMs = 0;
        for (Ordinary request : new ArrayList<>(ordinary)) {
            if (request.result.status == 200 && request.result.isComplete) served++;
            if (request.tookMs > TIMEOUT_MS) overTime++;
            if (request.tookMs > TIMEOUT_MS + LATE_MS) late++;
            longestMs = Math.max(longestMs, request.tookMs);
        }
        if (served == 0) throw new IllegalStateException("no request was served");
        for (Entry entry : entries) Rig.say(entry.name + (entry.isAlive() ? ": runs, " : ": has ended, ") + entry.memory());
        Rig.say(ordinary.size() + " ordinary requests, " + served + " served; " + overTime + " without an answer at the route's timeout of "
            + TIMEOUT_MS + " ms, " + late + " of these still " + LATE_MS + " ms later; the longest took " + longestMs + " ms");
        boolean hasEnded = entries.stream().anyMatch(entry -> !entry.isAlive());
        return hasEnded || (late >= MIN_LATE && late * 2 > overTime);
    }
}
