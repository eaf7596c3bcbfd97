import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Consumers that send unsafe requests to a plain service over kept channels, one after the other. */
final class Traffic {

    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    /** Requests that were passed on and have no answer of their worker. */
    final AtomicInteger lost = new AtomicInteger();
    private final long pauseMs;
    private volatile boolean isEnded;
    private final List<Thread> consumers = new ArrayList<>();

    /** The configuration with the only service `desk` and the only route, on which [version] depends. */
    static String config(long version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-post\",\"host\":\"desk.example\",\"prefix\":\"/post/\","
            + "\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":386,\"priority\":1,\"service\":\"desk\","
            + "\"max_attempts\":1,\"public\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
            + "\"max_connections\":48,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":24.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"k-shop\"],\"priority\":1}]}";
    }

    /** Starts [count] consumers, spread over [entries], each of which waits for [pauseMs] between two requests. */
    Traffic(List<Entry> entries, int count, long pauseMs) {
        this.pauseMs = pauseMs;
        for (int i = 0; i < count; i++) {
            Entry entry = entries.get(i % entries.size());
            Thread consumer = new Thread(() -> consume(entry));
            consumer.setDaemon(true);
            consumer.start();
            consumers.add(consumer);
        }
    }

    private void consume(Entry entry) {
        Client client = null;
        try {
            while (!isEnded) {
                if (client == null) client = new Client(entry.host, entry.callerPort);
                String id = String.format("%016x", 0x14da6f3800000000L + sent.incrementAndGet());
                Rig.note("consumer: " + id + " sent to " + entry.name);
                Client.Result result = client.send("POST", "/post/x", List.of("Host: desk.example", "Monsoonpath-Request-Id: " + id,
                    "Monsoonpath-Deadline-Ms: 1500", "Authorization: Bearer k-shop"), "a posting", 3_000);
                Rig.note("consumer: " + id + " " + result);
                if (result.status == 200 && result.isComplete) served.incrementAndGet();
                if (result.status == 0 || result.status == 502 || result.status == 504) lost.incrementAndGet();
                if (!Client.isKept(result)) {
                    client.close();
                    client = null;
                }
                Rig.sleep(pauseMs);
            }
        } catch (Exception e) {
            Rig.note("consumer ended: " + e);
        }
    }

    void end() throws InterruptedException {
        isEnded = true;
        for (Thread consumer : consumers) consumer.join();
        Rig.say(sent + " requests, " + served + " served, " + lost + " passed on to a worker without its answer (502, 504 or a closed channel)");
        if (served.get() == 0) throw new IllegalStateException("no request was served");
    }
}
