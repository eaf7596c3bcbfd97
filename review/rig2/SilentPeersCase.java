package rig2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open channels between the instances go silent for good; new ones work. Later, a new version of the configuration adds a route with
 * stages. Compares how often requests on it are served with those on the first routes, and with the share of each kind.
 */
public final class SilentPeersCase {
    private static final int INSTANCES = 6;
    private static final long SILENCE_AT_MS = 4_000;
    private static final long NEW_ROUTE_AT_MS = 12_000;

    /** The new version is in force by then, and the disruption is over for longer than stable_window_ms. */
    private static final long STEADY_FROM_MS = 16_000;
    private static final long TRAFFIC_MS = 64_000;
    private static final int MIN_REQUESTS = 20;
    private static final long GAP_MS = 40;

    /** A kind of request, with its share of the traffic of kvt-monsoon. */
    private enum Kind {
        DIGEST("complaint-digest", 34.4, 12_000, "2"),
        DRAFT("match-draft", 51.8, 15_000, "1,4,6"),
        TAG("catalogue-tag", 57.9, 6_000, "1,1,4,6"),
        RESERVE("stock-reserve", 36.0, 1_500, null),
        LOOKUP("stock-lookup", 14.4, 1_500, null),

        /** Part of the requests of match-draft, on the route that is added. */
        ADDED("match-draft-2", 25.9, 15_000, "1,4,6");

        final String label;
        final double share;
        final long deadlineMs;
        final String pieces;
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger sentSteady = new AtomicInteger();
        final AtomicInteger servedSteady = new AtomicInteger();

        Kind(String label, double share, long deadlineMs, String pieces) {
            this.label = label;
            this.share = share;
            this.deadlineMs = deadlineMs;
            this.pieces = pieces;
        }

        double servedShare() {
            return served.get() / (double) Math.max(1, sent.get());
        }
    }

    private final String root;
    private final Record record;
    private final Random random = new Random();
    private final List<Instance> instances = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();

    private SilentPeersCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
    }

    public static void main(String[] args) {
        Rig.main(() -> new SilentPeersCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Path folder = Files.createTempDirectory("silent-peers");
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.DIGEST, Configs.DRAFT, Configs.TAG, Configs.RESERVE, Configs.LOOKUP));
        startWorkers(store);
        PeerLinks links = startInstances(folder, store);
        record.result("%d instances are ready", instances.size());
        Rig.sleep(4_000);

        ExecutorService callers = Executors.newCachedThreadPool();
        long startMs = record.nowMs();
        boolean isSilenced = false;
        boolean isAdded = false;
        for (long atMs = 0; atMs < TRAFFIC_MS; atMs += GAP_MS) {
            Rig.sleep(startMs + atMs - record.nowMs());
            if (Rig.TROUBLE && !isSilenced && atMs >= SILENCE_AT_MS) {
                isSilenced = true;
                record.result("the %d open channels between the instances go silent", links.silence());
            }
            if (!isAdded && atMs >= NEW_ROUTE_AT_MS) {
                isAdded = true;
                store.put("op/config", Configs.config(9, Configs.DIGEST, Configs.DRAFT, Configs.TAG, Configs.RESERVE, Configs.LOOKUP, added()));
                record.result("version 9 adds the route match-draft-2");
            }
            boolean isSteady = atMs >= STEADY_FROM_MS;
            Kind kind = nextKind(isSteady);
            Instance instance = instances.get(random.nextInt(instances.size()));
            callers.submit(() -> call(kind, instance, isSteady));
        }
        callers.shutdown();
        if (!callers.awaitTermination(20, TimeUnit.SECONDS)) record.result("some callers got no answer");
        record.result("channels between the instances that work: %d", links.working());
        return judge();
    }

    private int judge() {
        int sent = 0;
        int served = 0;
        int sentFirst = 0;
        int servedFirst = 0;
        for (Kind kind : Kind.values()) {
            sent += kind.sent.get();
            served += kind.served.get();
            if (kind == Kind.ADDED) continue;
            sentFirst += kind.sentSteady.get();
            servedFirst += kind.servedSteady.get();
        }
        double all = served / (double) sent;
        record.result("all kinds: %d of %d served (%.3f)", served, sent, all);
        for (Kind kind : Kind.values()) {
            record.result("%s: %d of %d served (%.3f), %d of %d in steady state%s", kind.label, kind.served.get(), kind.sent.get(),
                kind.servedShare(), kind.servedSteady.get(), kind.sentSteady.get(),
                kind.servedShare() < all / 4 ? "; starved: less than a quarter as often as all" : "");
        }
        int sentAdded = Kind.ADDED.sentSteady.get();
        double first = servedFirst / (double) sentFirst;
        double added = Kind.ADDED.servedSteady.get() / (double) sentAdded;
        record.result("in steady state: first routes %.3f served, added route %.3f of %d", first, added, sentAdded);
        boolean isBroken = sentAdded >= MIN_REQUESTS && added < first / 4;
        record.result(isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? Rig.BROKEN : Rig.HELD;
    }

    private static String added() {
        return Configs.DRAFT.replace("match-draft", Kind.ADDED.label);
    }

    private Kind nextKind(boolean hasAdded) {
        double sum = 0;
        for (Kind kind : Kind.values()) if (hasAdded || kind != Kind.ADDED) sum += kind.share;
        double at = random.nextDouble() * sum;
        for (Kind kind : Kind.values()) {
            at -= kind.share;
            if (at < 0) return kind;
        }
        return Kind.LOOKUP;
    }

    private void call(Kind kind, Instance instance, boolean isSteady) {
        String id = String.format("%016x", ids.incrementAndGet());
        kind.sent.incrementAndGet();
        if (isSteady) kind.sentSteady.incrementAndGet();
        long sentMs = record.nowMs();
        String outcome;
        try (Caller caller = new Caller(instance, (int) kind.deadlineMs + 1_000)) {
            Http.Message answer = caller.call(request(kind, id));
            outcome = answer == null ? "closed" : answer.start;
            if (answer != null && answer.status() == 200 && answer.header("Monsoonpath-Response-Signature") != null) {
                kind.served.incrementAndGet();
                if (isSteady) kind.servedSteady.incrementAndGet();
            }
        } catch (IOException e) {
            outcome = e.toString();
        }
        record.line("%s %s at %s: %s after %d ms", kind.label, id, instance.name, outcome, record.nowMs() - sentMs);
    }

    private static byte[] request(Kind kind, String id) {
        String path = "/" + kind.label + "/x";
        return switch (kind) {
            case LOOKUP -> Configs.request("GET", path, id, kind.deadlineMs, "", null);
            case RESERVE -> Configs.request("POST", path, id, kind.deadlineMs, "", "work");
            default -> Configs.request("POST", path, id, kind.deadlineMs, Configs.engineHeaders(id, kind.pieces, "k" + id), "work");
        };
    }

    private PeerLinks startInstances(Path folder, Store store) throws IOException {
        PeerLinks links = new PeerLinks();
        String[] zones = {"gyor-a", "tatab-b", "buda-c"};
        String seeds = Rig.host(11) + ":8628," + Rig.host(12) + ":8628," + Rig.host(13) + ":8628";
        int firstPort = Rig.freePort(Rig.host(11)) % 20_000 + 10_000;
        for (int from = 0; from < INSTANCES; from++) {
            for (int to = 0; to < INSTANCES; to++) {
                if (from != to) links.connect(Rig.host(11 + from), firstPort + 16 * from, Rig.host(11 + to), firstPort + 16 * to);
            }
        }
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(
                new Instance(root, folder, "front-" + (i + 1), Rig.host(11 + i), zones[i % 3], seeds, firstPort + 16 * i, store.address()));
        }
        for (Instance instance : instances) instance.start();
        for (Instance instance : instances) Rig.waitUntil(instance.name, 20_000, instance::isReady);
        return links;
    }

    private void startWorkers(Store store) throws IOException {
        String[] zones = {"gyor-a", "tatab-b", "buda-c"};
        int host = 30;
        for (String service : new String[] {"model-pool", "order-desk", "invoice-run", "dispatch-plan", "legacy-bridge"}) {
            int slots = service.equals("model-pool") ? 128 : service.equals("order-desk") ? 6 : 1;
            for (int i = 0; i < 4; i++) new Worker(store, record, Rig.host(host++), service, "i-" + service + i, zones[i % 3], slots);
        }
    }
}
