import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Model workers lose answers that they are working on; the rule TWICE. */
final class LostAnswers {
    private static final int WORKERS = 5;
    private static final int CONSUMERS = 10;

    /** Three fifths of the workers lose the answers of two fifths of their requests, for four seconds, twice. */
    private static final int WORKERS_IN_TROUBLE = 3;
    private static final long TROUBLE_MS = 4_000;
    private static final long FIRST_TROUBLE_MS = 6_000;
    private static final long SECOND_TROUBLE_MS = 16_000;
    private static final long TRAFFIC_MS = 26_000;

    /** How long the worker before may still work on a request that goes on elsewhere. */
    private static final long TWICE_MS = 400;

    private LostAnswers() {}

    public static void main(String[] args) {
        Rig.main(args[0], LostAnswers::run);
    }

    private static boolean run(boolean withTrouble) throws Exception {
        String host = Rig.freeHost(9464);
        Store store = Rig.closing(new Store(host));
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"draft.example\",\"prefix\":\"/draft/\","
            + "\"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2300,\"priority\":1,\"service\":\"gen\","
            + "\"max_attempts\":1,\"stages\":[],\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}],"
            + "\"services\":[{\"name\":\"gen\",\"health_path\":\"/healthz\",\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":3.0,\"cold_per_s\":24.0,\"engine\":{\"slots\":16,\"kv_capacity_tokens\":843587,"
            + "\"kv_token_bytes\":18432,\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"k-shop\"],\"priority\":1}]}");
        List<Model> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) workers.add(new Model("i-" + i, host, store, "gen", "z-a"));
        List<Entry> entries = Entry.start(2, store, "bounds.stable_window_ms=4000", "bounds.config_apply_ms=3000", "bounds.drain_ms=3000");
        Rig.sleep(3_000);

        long fromMs = Rig.nowMs();
        AtomicInteger number = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            Entry entry = entries.get(i % entries.size());
            long startMs = fromMs + i * 400L;
            Thread consumer = new Thread(() -> consume(entry, startMs, fromMs + TRAFFIC_MS, number, complete));
            consumer.setDaemon(true);
            consumer.start();
            consumers.add(consumer);
        }
        for (long atMs : List.of(FIRST_TROUBLE_MS, SECOND_TROUBLE_MS)) {
            Rig.sleepUntil(fromMs + atMs);
            if (withTrouble) for (int i = 0; i < WORKERS_IN_TROUBLE; i++) workers.get(i).losesAnswers(true);
            Rig.say(withTrouble ? "answers are lost from now on" : "no answer is lost");
            Rig.sleepUntil(fromMs + atMs + TROUBLE_MS);
            workers.forEach(worker -> worker.losesAnswers(false));
            Rig.say("no answer is lost any more");
        }
        for (Thread consumer : consumers) consumer.join();
        Rig.sleep(Model.EVENTS * Model.EVENT_MS + 500);
        return judge(workers, entries, number.get(), complete.get());
    }

    private static void consume(Entry entry, long startMs, long endMs, AtomicInteger number, AtomicInteger complete) {
        Client client = null;
        try {
            Rig.sleepUntil(startMs);
            while (Rig.nowMs() < endMs) {
                if (client == null) client = new Client(entry.host, entry.callerPort);
                int n = number.incrementAndGet();
                String id = String.format("%016x", 0x9c41d07b00000000L + n);
                Rig.note("consumer: " + id + " sent to " + entry.name);
                Client.Result result = client.send("POST", "/draft/x", List.of("Host: draft.example", "Monsoonpath-Request-Id: " + id,
                    "Monsoonpath-Model: m", "Monsoonpath-Token-Count: 800,400",
                    "Monsoonpath-Prompt-Prefix: 5c1e07a2:600," + Integer.toHexString(0xa0000 + n) + ":200",
                    "Monsoonpath-Deadline-Ms: 15000", "Authorization: Bearer k-shop"), "a draft", 5_000);
                Rig.note("consumer: " + id + " " + result);
                if (result.status == 200 && result.isComplete) complete.incrementAndGet();
                if (!Client.isKept(result)) {
                    client.close();
                    client = null;
                }
            }
        } catch (Exception e) {
            Rig.note("consumer ended: " + e);
        }
    }

    private static boolean judge(List<Model> workers, List<Entry> entries, int sent, int complete) throws Exception {
        int lost = 0;
        int continued = 0;
        int twice = 0;
        for (var entry : Model.runsById(workers).entrySet()) {
            for (Model.Run run : entry.getValue()) {
                if (run.lostAtMs >= 0) lost++;
                if (!run.goesOnFromCopy) continue;
                continued++;
                for (Model.Run before : entry.getValue()) {
                    long overlapMs = before.endedAtMs - run.startedAtMs;
                    if (before == run || before.startedAtMs > run.startedAtMs || overlapMs <= TWICE_MS) continue;
                    twice++;
                    Rig.say("TWICE: " + run.id + " goes on at " + run.worker + " at " + run.startedAtMs + " ms, " + before.worker
                        + " works on it for " + overlapMs + " ms more, to event " + before.events);
                }
            }
        }
        for (Entry entry : entries) entry.noteLog("copy.", "instance.", "internal.error");
        Rig.say(sent + " requests, " + complete + " complete, " + lost + " answers lost, " + continued + " runs continued, " + twice
            + " of these while the worker before still worked after " + TWICE_MS + " ms");
        if (complete == 0) throw new IllegalStateException("no request was served");
        return twice > 0;
    }
}
