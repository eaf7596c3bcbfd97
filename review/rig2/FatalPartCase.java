package rig2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each engine that begins to answer it; the prompts have many parts. Counts the requests with that part that
 * reach engines later than stable_window_ms after the fifth crash.
 */
public final class FatalPartCase {
    private static final int INSTANCES = 6;
    private static final int ENGINES = 8;
    private static final int PARTS = Integer.parseInt(System.getenv().getOrDefault("PARTS", "40"));
    private static final String FATAL_PART = "dead0bad";
    private static final String SOUND_PART = "5a5a5a";
    private static final int SESSIONS = 40;
    private static final long FATAL_GAP_MS = 2_000;
    private static final int FATAL_REQUESTS = 24;
    private static final long SOUND_GAP_MS = 120;
    private static final int SOUND_EVENTS = 60;
    private static final long PREFILL_MS = 80;
    private static final long DOWN_MS = 3_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final int CRASHES = 5;
    private static final int TOLERATED = 3;

    private final String root;
    private final Record record;
    private final List<Instance> instances = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger fatalArrivals = new AtomicInteger();
    private final AtomicInteger lateArrivals = new AtomicInteger();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final Random random = new Random();
    private volatile long lateFromMs = Long.MAX_VALUE;
    private volatile boolean isOver;

    private FatalPartCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
    }

    public static void main(String[] args) {
        Rig.main(() -> new FatalPartCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.route("match-draft", "streaming", 15_000, 1, 1, false, null)));
        for (int i = 0; i < ENGINES; i++) new Engine(store, Rig.host(30 + i), "i-engine" + i, Configs.ZONES[i % 3]);
        startInstances(store);
        Rig.sleep(4_000);
        Rig.thread("sound requests", this::sendSound);
        Rig.sleep(3_000);
        for (int n = 0; n < FATAL_REQUESTS; n++) {
            Instance instance = instances.get(n % INSTANCES);
            String id = "fatal-" + n;
            if (Rig.TROUBLE) Rig.thread(id, () -> call(instance, id, FATAL_PART));
            Rig.sleep(FATAL_GAP_MS);
        }
        isOver = true;
        Rig.sleep(2_000);
        return judge();
    }

    private int judge() throws IOException {
        record.result("prompts of %d parts: %d requests with the fatal part sent, %d reached engines, %d crashes", PARTS,
            Rig.TROUBLE ? FATAL_REQUESTS : 0, fatalArrivals.get(), crashes.get());
        record.result("sound requests: %d of %d served, the others were cut off by crashes or refused", soundServed.get(), soundSent.get());
        for (Instance instance : instances) {
            record.result("%s: %d datagrams of evidence could not be read, %d quarantines", instance.name,
                instance.logged("evidence.unreadable"), instance.logged("quarantine.started"));
        }
        record.result("requests with the fatal part that reached engines later than %d ms after the fifth crash: %d", STABLE_WINDOW_MS,
            lateArrivals.get());
        boolean isBroken = lateArrivals.get() > TOLERATED;
        record.result(isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? Rig.BROKEN : soundServed.get() > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }

    private void sendSound() {
        while (!isOver) {
            Instance instance = instances.get(random.nextInt(INSTANCES));
            String id = "sound-" + soundSent.incrementAndGet();
            int session = 10 + random.nextInt(SESSIONS);
            Rig.thread(id, () -> {
                if (call(instance, id, SOUND_PART + session)) soundServed.incrementAndGet();
            });
            Rig.sleep(SOUND_GAP_MS);
        }
    }

    /** Sends a request; the given part stands among those that all prompts share, and the last part is the request's own. */
    private boolean call(Instance instance, String id, String part) {
        String outcome;
        boolean isServed = false;
        try (Caller caller = new Caller(instance, 16_000)) {
            String more = "Monsoonpath-Model: m\r\nMonsoonpath-Token-Count: 600,20\r\nMonsoonpath-Prompt-Prefix: " + prompt(id, part) + "\r\n";
            Http.Message answer = caller.call(Configs.request("POST", "/match-draft/x", id, 15_000, more, "work"));
            outcome = answer == null ? "closed" : answer.start;
            isServed = answer != null && answer.status() == 200;
        } catch (IOException e) {
            outcome = e.toString();
        }
        record.line("%s at %s: %s", id, instance.name, outcome);
        return isServed;
    }

    private static String prompt(String id, String part) {
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < PARTS - 2; i++) prompt.append(String.format("5c1e%04x:10,", i));
        return prompt + part + ":20," + Integer.toHexString(id.hashCode()) + ":100";
    }

    private void startInstances(Store store) throws IOException {
        Path folder = Files.createTempDirectory("fatal-part");
        String seeds = Rig.host(11) + ":8628," + Rig.host(12) + ":8628," + Rig.host(13) + ":8628";
        int port = Rig.freePort(Rig.host(11));
        for (int i = 0; i < INSTANCES; i++) {
            String name = "front-" + (i + 1);
            instances.add(new Instance(root, folder, name, Rig.host(11 + i), Configs.ZONES[i % 3], seeds, port, store.address()));
        }
        for (Instance instance : instances) instance.start();
        for (Instance instance : instances) Rig.waitUntil(instance.name, 20_000, instance::isReady);
        record.result("%d instances are ready", instances.size());
    }

    /** An engine that crashes when it begins to answer a prompt with the fatal part. */
    private final class Engine extends Worker {
        Engine(Store store, String host, String id, String zone) throws IOException {
            super(store, FatalPartCase.this.record, host, "model-pool", id, zone, 128);
        }

        @Override
        void answer(Http.Message request, OutputStream out) throws IOException {
            boolean isFatal = request.header("Monsoonpath-Prompt-Prefix").contains(FATAL_PART);
            if (isFatal) {
                fatalArrivals.incrementAndGet();
                if (record.nowMs() > lateFromMs) lateArrivals.incrementAndGet();
            }
            Rig.sleep(PREFILL_MS);
            if (!isFatal) {
                recordRun(request);
                stream(request.header("Monsoonpath-Request-Id"), out, SOUND_EVENTS);
                return;
            }
            recordRun(request);
            if (!crash(DOWN_MS)) return;
            int count = crashes.incrementAndGet();
            if (count == CRASHES) lateFromMs = record.nowMs() + STABLE_WINDOW_MS;
            record.line("%s crashes: crash %d", id, count);
        }
    }
}
