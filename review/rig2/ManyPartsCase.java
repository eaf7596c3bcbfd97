package rig2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends requests whose heads are of legal size and name very many short parts of a prompt, one after the other on kept channels, and
 * reads each answer. Counts how often the processes end by themselves; they are started again as the platform does.
 */
public final class ManyPartsCase {
    private static final int INSTANCES = 3;
    private static final int CHANNELS_PER_INSTANCE = 20;
    private static final int REQUESTS_PER_S = 60;
    private static final int FIELD_CHARS = 15_600;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long TRAFFIC_MS = 70_000;
    private static final long RESTART_DELAY_MS = 1_000;

    /** The rule: three times on a tenth of the machines in use, two at least. */
    private static final int MAX_ENDS = 2;
    private static final int MIN_MACHINES = Math.max(2, (INSTANCES + 9) / 10);

    private final String root;
    private final Record record;
    private final List<Instance> instances = new ArrayList<>();
    private final int[] ends = new int[INSTANCES];
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger ordinaryServed = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean isOver;

    private ManyPartsCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
    }

    public static void main(String[] args) {
        Rig.main(() -> new ManyPartsCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.route("match-draft", "streaming", 15_000, 1, 1, false, null), Configs.LOOKUP));
        for (int i = 0; i < 6; i++) {
            new Worker(store, record, Rig.host(30 + i), "model-pool", "i-engine" + i, Configs.ZONES[i % 3], 128) {
                @Override
                void recordRun(Http.Message request) {
                    // There are too many for the record.
                }
            };
        }
        for (int i = 0; i < 3; i++) new Worker(store, record, Rig.host(40 + i), "order-desk", "i-desk" + i, Configs.ZONES[i], 6);
        startInstances(store);
        Rig.sleep(4_000);
        record.result("heads of %d bytes (limit %d), %d requests a second to each machine", request("i", true).length - 4, MAX_HEADER_BYTES,
            Rig.TROUBLE ? REQUESTS_PER_S : 0);
        for (Instance instance : instances) {
            Rig.thread("ordinary", () -> send(instance, false, 50, ordinaryServed));
            if (!Rig.TROUBLE) continue;
            for (int n = 0; n < CHANNELS_PER_INSTANCE; n++) {
                Rig.thread("client", () -> send(instance, true, 1_000L * CHANNELS_PER_INSTANCE / REQUESTS_PER_S, served));
            }
        }
        long endMs = record.nowMs() + TRAFFIC_MS;
        while (record.nowMs() < endMs && !isBroken()) {
            Rig.sleep(100);
            for (int i = 0; i < INSTANCES; i++) if (!instances.get(i).isRunning()) restart(i);
        }
        isOver = true;
        return judge();
    }

    private void restart(int index) throws IOException {
        Instance instance = instances.get(index);
        ends[index]++;
        record.result("%s has ended by itself with exit code %d", instance.name, instance.exitCode());
        Rig.sleep(RESTART_DELAY_MS);
        instance.start();
    }

    private boolean isBroken() {
        return Arrays.stream(ends).filter(count -> count > MAX_ENDS).count() >= MIN_MACHINES;
    }

    private int judge() {
        record.result("%d requests with many parts and %d ordinary ones served", served.get(), ordinaryServed.get());
        for (int i = 0; i < INSTANCES; i++) record.result("%s ended by itself %d times", instances.get(i).name, ends[i]);
        record.result(isBroken() ? "the rule was broken" : "the rule held");
        return isBroken() ? Rig.BROKEN : ordinaryServed.get() > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }

    /** Sends requests on a kept channel, one every {@code gapMs} at the most. */
    private void send(Instance instance, boolean hasManyParts, long gapMs, AtomicInteger count) {
        while (!isOver) {
            try (Caller caller = new Caller(instance, 16_000)) {
                while (!isOver) {
                    long nextMs = record.nowMs() + gapMs;
                    Http.Message answer = caller.call(request("r-" + ids.incrementAndGet(), hasManyParts));
                    if (answer == null) break;
                    if (answer.status() == 200) count.incrementAndGet();
                    Rig.sleep(nextMs - record.nowMs());
                }
            } catch (IOException e) {
                Rig.sleep(200);
            }
        }
    }

    private static byte[] request(String id, boolean hasManyParts) {
        if (!hasManyParts) return Configs.request("GET", "/stock-lookup/x", id, 1_500, "", null);
        StringBuilder parts = new StringBuilder();
        for (int part = 0; parts.length() < FIELD_CHARS; part++) parts.append(Integer.toHexString(part)).append(":1,");
        String more = "Monsoonpath-Model: m\r\nMonsoonpath-Token-Count: 600,20\r\nMonsoonpath-Prompt-Prefix: " + parts + "f:1\r\n";
        return Configs.request("POST", "/match-draft/x", id, 15_000, more, "work");
    }

    private void startInstances(Store store) throws IOException {
        Path folder = Files.createTempDirectory("many-parts");
        String seeds = Rig.host(11) + ":8628," + Rig.host(12) + ":8628," + Rig.host(13) + ":8628";
        int port = Rig.freePort(Rig.host(11));
        for (int i = 0; i < INSTANCES; i++) {
            String name = "front-" + (i + 1);
            instances.add(new Instance(root, folder, name, Rig.host(11 + i), Configs.ZONES[i], seeds, port, store.address()));
        }
        for (Instance instance : instances) instance.start();
        for (Instance instance : instances) Rig.waitUntil(instance.name, 20_000, instance::isReady);
        record.result("%d instances are ready", instances.size());
    }
}
