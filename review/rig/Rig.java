package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a case: a store, workers and instances, all of which end with it. */
final class Rig implements AutoCloseable {
    static final String HOST = "pule25.example";
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String SERVICE = "order-desk";
    static final String UNSAFE_PATH = "/reserve/1";
    static final String SAFE_PATH = "/lookup/1";

    interface Action {
        void run() throws Exception;
    }

    interface Case {
        void run(Rig rig, boolean hasTrouble) throws Exception;
    }

    final RunRecord record;
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    final List<Store.Door> doors = new ArrayList<>();
    private final Path folder;

    private Rig(RunRecord record, Path root, int entryCount) throws IOException {
        this.record = record;
        store = new Store(record);
        folder = Files.createTempDirectory("monsoonpath-review");
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= entryCount; i++) hosts.add(Entry.freeHost(i));
        for (int i = 0; i < entryCount; i++) {
            doors.add(store.door("127.0.0.1"));
            entries.add(new Entry(record, root, folder, "front-" + (i + 1), hosts.get(i), doors.get(i).address(), hosts));
        }
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String[] args, int entryCount, Case body) {
        Path root = Path.of(args[0]);
        Path recordFile = Path.of(args[1]);
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (RunRecord record = new RunRecord(recordFile)) {
            record.line("TROUBLE=%s", hasTrouble ? "1" : "0");
            try (Rig rig = new Rig(record, root, entryCount)) {
                Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
                body.run(rig, hasTrouble);
                code = record.brokenCount() > 0 ? 1 : 0;
            } catch (Exception e) {
                record.line("the case could not run: %s", e);
                e.printStackTrace();
            }
            record.line("exit %d, rule broken %d times", code, record.brokenCount());
            System.out.println("exit " + code + ", rule broken " + record.brokenCount() + " times");
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Writes the configuration, with an unsafe and a safe route to one service, and starts the instances. */
    void startInstances() throws Exception {
        store.put("op/config", config());
        for (Entry it : entries) it.start();
        for (Entry it : entries) it.awaitReady();
        // The machines count as in touch three seconds after their start, and know each other by then.
        Thread.sleep(3_500);
    }

    void register(Worker worker) {
        store.put("servers/" + worker.id, worker.entry("ready"));
    }

    /** The limits, time-outs and the shape are those of the site's example. */
    private static String config() {
        return "{\"version\":7,\"routes\":[" + route("reserve", "unsafe", 12_000) + "," + route("lookup", "safe", 12_000) + "],\"services\":["
            + service(SERVICE) + "," + service("other-desk") + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    private static String route(String name, String kind, int timeoutMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"route_type\":\"" + kind + "\",\"timeout_ms\":"
            + timeoutMs + ",\"target_latency_ms\":300,\"priority\":0,\"service\":\"" + SERVICE + "\",\"max_attempts\":2,\"public\":false}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    /** Runs the action in a thread that does not outlive the case. */
    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                // A closed socket ends the thread.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void endProcesses() {
        for (Entry it : entries) {
            try {
                if (it.isRunning()) it.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path it : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(it);
        }
    }
}
