package rig2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends letters outside ASCII in a path or a query without encoding them. Checks with which targets workers run its requests. */
public final class PathBytesCase {
    private static final String[] TARGETS = {"/stock-lookup/csapágy", "/stock-lookup/zsanér?szín=réz", "/stock-lookup/Győr"};
    private static final String[] ENCODED =
        {"/stock-lookup/csap%C3%A1gy", "/stock-lookup/zsan%C3%A9r?sz%C3%ADn=r%C3%A9z", "/stock-lookup/Gy%C5%91r"};
    private static final int ROUNDS = 5;

    private final String root;
    private final Record record;
    /** The targets, byte by byte, with which requests were run, by id. */
    private final Map<String, String> targets = new ConcurrentHashMap<>();

    private PathBytesCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
    }

    public static void main(String[] args) {
        Rig.main(() -> new PathBytesCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.RESERVE, Configs.LOOKUP));
        for (int i = 0; i < 3; i++) {
            new Worker(store, record, Rig.host(30 + i), "order-desk", "i-desk" + i, Configs.ZONES[i], 6) {
                @Override
                void recordRun(Http.Message request) {
                    super.recordRun(request);
                    targets.put(request.header("Monsoonpath-Request-Id"), request.target());
                }
            };
        }
        Path folder = Files.createTempDirectory("path-bytes");
        String host = Rig.host(11);
        Instance instance = new Instance(root, folder, "front-1", host, Configs.ZONES[0], host + ":8628", Rig.freePort(host), store.address());
        instance.start();
        Rig.waitUntil("the instance", 20_000, instance::isReady);
        Rig.sleep(2_500);

        Map<String, String> sent = new LinkedHashMap<>();
        for (int round = 1; round <= ROUNDS; round++) {
            for (int i = 0; i < TARGETS.length; i++) {
                // One character for each byte that is sent.
                String target = Rig.TROUBLE
                    ? new String(TARGETS[i].getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1) : ENCODED[i];
                String id = "lookup-" + round + "-" + i;
                sent.put(id, target);
                try (Caller caller = new Caller(instance, 2_500)) {
                    Http.Message answer = caller.call(Configs.request("GET", target, id, 1_500, "", null));
                    record.line("sent %s to %s: %s", id, target, answer == null ? "closed" : answer.start);
                }
            }
        }
        return judge(sent);
    }

    private int judge(Map<String, String> sent) {
        int changed = 0;
        for (Map.Entry<String, String> request : sent.entrySet()) {
            String target = targets.get(request.getKey());
            if (target == null || target.equals(request.getValue())) continue;
            changed++;
            record.line("%s was sent to %s and run as %s", request.getKey(), request.getValue(), target);
        }
        record.result("%d requests sent, %d run, %d of them with another path or query", sent.size(), targets.size(), changed);
        record.result(changed > 0 ? "the rule was broken" : "the rule held");
        return changed > 0 ? Rig.BROKEN : targets.isEmpty() ? Rig.COULD_NOT_RUN : Rig.HELD;
    }
}
