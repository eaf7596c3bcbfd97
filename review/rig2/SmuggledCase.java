package rig2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends a request with a transfer coding other than chunked, and with the text of another request as its body. Checks which
 * requests workers run, and with which bodies.
 */
public final class SmuggledCase {
    private static final int ROUNDS = 5;
    private static final String[] CODINGS = {"gzip", "identity", "xchunked"};

    private final String root;
    private final Record record;
    /** The bodies with which requests were run, by id. */
    private final Map<String, String> bodies = new ConcurrentHashMap<>();

    private SmuggledCase(String root, String file) throws IOException {
        this.root = root;
        record = new Record(file);
    }

    public static void main(String[] args) {
        Rig.main(() -> new SmuggledCase(args[0], args[1]).run());
    }

    private int run() throws Exception {
        Store store = new Store(Rig.host(1));
        store.put("op/config", Configs.config(7, Configs.RESERVE, Configs.LOOKUP));
        for (int i = 0; i < 3; i++) {
            new Worker(store, record, Rig.host(30 + i), "order-desk", "i-desk" + i, Configs.ZONES[i], 6) {
                @Override
                void recordRun(Http.Message request) {
                    super.recordRun(request);
                    bodies.put(request.header("Monsoonpath-Request-Id"), request.text());
                }
            };
        }
        Path folder = Files.createTempDirectory("smuggled");
        String host = Rig.host(11);
        Instance instance = new Instance(root, folder, "front-1", host, Configs.ZONES[0], host + ":8628", Rig.freePort(host), store.address());
        instance.start();
        Rig.waitUntil("the instance", 20_000, instance::isReady);
        Rig.sleep(2_500);

        List<String> outer = new ArrayList<>();
        for (int round = 1; round <= ROUNDS; round++) {
            for (String coding : CODINGS) {
                String id = coding + "-" + round;
                outer.add(id);
                send(instance, id, Rig.TROUBLE ? coding : "chunked");
            }
        }
        Rig.sleep(500);
        return judge(outer);
    }

    /** Sends a request whose body is the text of another request, as it stands or in a chunk. */
    private void send(Instance instance, String id, String coding) throws IOException {
        String body = inner(id);
        if (coding.equals("chunked")) body = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
        String head = new String(Configs.request("POST", "/stock-reserve/outer", id, 1_500, "Transfer-Encoding: " + coding + "\r\n", null));
        record.line("sent %s: body of %d bytes with Transfer-Encoding: %s", id, body.length(), coding);
        try (Caller caller = new Caller(instance, 2_500)) {
            caller.send(Http.bytes(head + body));
            Http.Message answer;
            while ((answer = Http.read(caller.in)) != null) {
                record.line("answer on the channel of %s: %s, id %s", id, answer.start, answer.header("Monsoonpath-Request-Id"));
                if (answer.status() == 200 && !id.equals(answer.header("Monsoonpath-Request-Id"))) break;
                caller.socket.setSoTimeout(500);
            }
        } catch (IOException e) {
            record.line("channel of %s: %s", id, e);
        }
    }

    private static String inner(String id) {
        return new String(Configs.request("POST", "/stock-reserve/inner", "inner-" + id, 1_500, "", "order"));
    }

    private int judge(List<String> outer) {
        int smuggled = 0;
        int changed = 0;
        int run = 0;
        for (String id : outer) {
            if (bodies.containsKey("inner-" + id)) smuggled++;
            String body = bodies.get(id);
            if (body == null) continue;
            run++;
            if (!body.equals(inner(id))) changed++;
        }
        record.result("%d requests sent, %d run, %d of them with a changed body; %d requests run that were smuggled in a body", outer.size(), run,
            changed, smuggled);
        boolean isBroken = smuggled + changed > 0;
        record.result(isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? Rig.BROKEN : Rig.HELD;
    }
}
