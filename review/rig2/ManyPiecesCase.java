package rig2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends requests that are legal in size and state many pieces and a long key. Counts how often the processes end by themselves;
 * they are started again as the platform does. Also counts the requests of ordinary consumers on kept channels that were run by a worker
 * and whose channel was closed without an answer.
 */
public final class ManyPiecesCase {
    private static final int INSTANCES = 4;
    private static final int CONSUMERS_PER_INSTANCE = 6;
    private static final int BURST_PER_INSTANCE = 20;
    private static final int ROUNDS = 6;
    private static final long ROUND_MS = 4_000;
    private static final long RESTART_DELAY_MS = 1_000;
    private static final long SETTLE_MS = 3_000;

    /** The rule: three times on a tenth of the machines in use, two at least. */
    private static final int MAX_ENDS = 2;
    private static final int MIN_MACHINES = Math.max(2, (INSTANCES + 9) / 10);
    private static final int PIECES = 1_000;
    private static final int KEY_CHARS = 15_000;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long WORK_MS = 85;

    private final String root;
    private final Record record;
    private final List<Instance> instances = new ArrayList<>();
    private final List<Worker> desks = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final int[] ends = new int[INSTANCES];
    private final AtomicInteger[] lost = new AtomicInteger[INSTANCES];
    private volatile boolean isOver;

    private ManyPiecesCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
        for (int i = 0; i < INSTANCES; i++) lost[i] = new AtomicInteger();
    }

    public static void main(String[] args) {
        Rig.main(() -> new ManyPiecesCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.DIGEST, Configs.DRAFT, Configs.RESERVE, Configs.LOOKUP));
        startWorkers(store);
        startInstances(store);
        Rig.sleep(4_000);
        for (int i = 0; i < INSTANCES; i++) {
            int index = i;
            for (int n = 0; n < CONSUMERS_PER_INSTANCE; n++) {
                int number = n;
                Rig.thread("consumer", () -> consume(index, "c" + index + "-" + number));
            }
        }
        for (int round = 1; round <= ROUNDS && !isBroken(); round++) {
            if (Rig.TROUBLE) instances.forEach(this::burst);
            Rig.sleep(ROUND_MS);
            restartEnded();
        }
        isOver = true;
        Rig.sleep(2_000);
        return judge();
    }

    /** Starts processes that have ended again after a short delay. */
    private void restartEnded() throws IOException {
        List<Instance> ended = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            Instance instance = instances.get(i);
            if (instance.isRunning()) continue;
            ends[i]++;
            record.result("%s has ended by itself with exit code %d", instance.name, instance.exitCode());
            ended.add(instance);
        }
        if (ended.isEmpty() || isBroken()) return;
        Rig.sleep(RESTART_DELAY_MS);
        for (Instance instance : ended) instance.start();
        for (Instance instance : ended) Rig.waitUntil(instance.name, 20_000, instance::isReady);
        Rig.sleep(SETTLE_MS);
    }

    private boolean isBroken() {
        return Arrays.stream(ends).filter(count -> count > MAX_ENDS).count() >= MIN_MACHINES;
    }

    private int judge() {
        record.result("%d requests of ordinary consumers served", served.get());
        for (int i = 0; i < INSTANCES; i++) {
            record.result("%s ended by itself %d times; requests on kept channels that were run and got no answer: %d",
                instances.get(i).name, ends[i], lost[i].get());
        }
        record.result(isBroken() ? "the rule was broken" : "the rule held");
        return isBroken() ? Rig.BROKEN : served.get() > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }

    /** Sends one request after the other on a kept channel. */
    private void consume(int index, String name) throws IOException {
        Instance instance = instances.get(index);
        int count = 0;
        while (!isOver) {
            boolean isKept = false;
            String id = null;
            try (Caller caller = new Caller(instance, 2_500)) {
                while (!isOver) {
                    id = name + "-" + ++count;
                    Http.Message answer = caller.call(Configs.request("POST", "/stock-reserve/x", id, 1_500, "", "order"));
                    if (answer == null) throw new IOException("closed");
                    record.line("%s at %s: %s", id, instance.name, answer.start);
                    if (answer.status() == 200) served.incrementAndGet();
                    isKept = true;
                }
            } catch (IOException e) {
                String cause = e.toString();
                String sent = id;
                boolean hasRun = sent != null && desks.stream().anyMatch(desk -> desk.ran.contains(sent));
                record.line("%s at %s: %s%s%s", id, instance.name, cause, isKept ? ", kept channel" : "", hasRun ? ", was run" : "");
                if (isKept && hasRun) lost[index].incrementAndGet();
                Rig.sleep(100);
            }
        }
    }

    /** Sends requests whose heads are within the limit, each on a channel of its own. */
    private void burst(Instance instance) {
        byte[] longest = burstRequest(instance.name + "-00");
        record.result("%d requests with a head of %d bytes (limit %d) and %d pieces each are sent to %s", BURST_PER_INSTANCE, longest.length - 4,
            MAX_HEADER_BYTES, PIECES, instance.name);
        for (int n = 0; n < BURST_PER_INSTANCE; n++) {
            String id = String.format("%s-%02d", instance.name, n);
            Rig.thread("burst", () -> {
                String outcome;
                try (Caller caller = new Caller(instance, 13_000)) {
                    Http.Message answer = caller.call(burstRequest(id));
                    outcome = answer == null ? "closed" : answer.start;
                } catch (IOException e) {
                    outcome = e.toString();
                }
                record.line("%s: %s", id, outcome);
            });
        }
    }

    private static byte[] burstRequest(String id) {
        String headers = Configs.engineHeaders(id, Integer.toString(PIECES), "k".repeat(KEY_CHARS));
        return Configs.request("POST", "/complaint-digest/x", id, 12_000, headers, "work");
    }

    private void startInstances(Store store) throws IOException {
        Path folder = Files.createTempDirectory("many-pieces");
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

    private void startWorkers(Store store) throws IOException {
        int host = 30;
        for (String service : new String[] {"model-pool", "invoice-run", "dispatch-plan", "legacy-bridge"}) {
            int slots = service.equals("model-pool") ? 128 : 1;
            for (int i = 0; i < 4; i++) {
                new Worker(store, record, Rig.host(host++), service, "i-" + service + i, Configs.ZONES[i % 3], slots);
            }
        }
        for (int i = 0; i < 3; i++) {
            desks.add(new Worker(store, record, Rig.host(host++), "order-desk", "i-desk" + i, Configs.ZONES[i], 16) {
                @Override
                void plain(String requestId, java.io.OutputStream out) throws IOException {
                    Rig.sleep(WORK_MS);
                    super.plain(requestId, out);
                }
            });
        }
    }
}
