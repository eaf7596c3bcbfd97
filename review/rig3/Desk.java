import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A stand-in of a plain worker, which registers itself in the store and answers each request after some time. */
final class Desk implements AutoCloseable {
    /** A request that reached the worker. */
    record Arrival(String id, long atMs) {}

    static final int SLOTS = 6;
    private static final long WORK_MS = 60;
    private static final long HEARTBEAT_MS = 1_200;

    final String id;
    final List<Arrival> arrivals = new ArrayList<>();
    private final Http.Server server;
    private final Store store;
    private final String service;
    private final long bornUnixMs = System.currentTimeMillis();
    private String state = "ready";
    private long coldUntilMs;
    private long sequence;
    private boolean hasLeft;
    private String written;

    Desk(String id, String host, Store store, String service) throws IOException {
        this.id = id;
        this.store = store;
        this.service = service;
        server = Rig.closing(new Http.Server(host, Rig.freePort(host), this::handle));
        beat();
        Rig.start("heartbeat " + id, () -> {
            while (true) {
                Rig.sleep(HEARTBEAT_MS);
                synchronized (this) {
                    if (hasLeft) return;
                    beat();
                }
            }
        });
    }

    /** Writes the entry if more than its sequence has changed, or if the store does not hold what was written last. */
    private synchronized long beat() {
        sequence++;
        long coldMs = Math.max(0, coldUntilMs - Rig.nowMs());
        String fields = "\"service\":\"" + service + "\",\"address\":\"" + server.host + ":" + server.port
            + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":" + coldMs
            + ",\"born\":" + bornUnixMs;
        if (store.isDown()) return -1;
        if (fields.equals(written) && store.holds("servers/" + id, fields)) return -1;
        written = fields;
        return store.put("servers/" + id, "{" + fields + ",\"sequence\":" + sequence + "}");
    }

    /** Writes the entry again, as what the store has lost is written again. */
    synchronized void writeAgain() {
        written = null;
        beat();
    }

    /** The worker becomes cold for [forMs] and tells so. */
    synchronized void becomeCold(long forMs) {
        coldUntilMs = Rig.nowMs() + forMs;
        beat();
    }

    /** Reports that the worker is draining, and returns the time of the store's ack. */
    synchronized long drain() {
        state = "draining";
        long revision = beat();
        Rig.say(id + ": draining, acknowledged as revision " + revision);
        return Rig.nowMs();
    }

    /** Removes the entry without having reported `draining`, and returns the time of the store's ack. The worker serves on. */
    synchronized long leave() {
        hasLeft = true;
        long revision = store.remove("servers/" + id);
        Rig.say(id + ": its entry is removed, acknowledged as revision " + revision);
        return Rig.nowMs();
    }

    /** Ends the process of the worker. */
    void exit() throws IOException {
        server.close();
        Rig.say(id + ": ended");
    }

    private boolean handle(Http.Message request, Http.Channel channel) throws Exception {
        String requestId = request.header("monsoonpath-request-id");
        String target = request.header("monsoonpath-target-instance");
        if (target != null && !target.equals(id)) {
            channel.answer(421, List.of("Monsoonpath-Instance-Id: " + id), "");
            return true;
        }
        synchronized (arrivals) {
            arrivals.add(new Arrival(requestId, Rig.nowMs()));
        }
        Rig.note(id + ": runs " + requestId);
        Rig.sleep(WORK_MS);
        channel.answer(200, List.of("Monsoonpath-Request-Id: " + requestId, "Monsoonpath-Response-Signature: " + id + "." + requestId,
            "Monsoonpath-Server-Load: 1,0," + SLOTS, "Keep-Alive: timeout=5"), "done " + requestId);
        return true;
    }

    /** Returns how many requests reached the worker from [fromMs] on. */
    long arrivalsFrom(long fromMs) {
        synchronized (arrivals) {
            return arrivals.stream().filter(arrival -> arrival.atMs >= fromMs).count();
        }
    }

    /** Returns the time of the last request that reached the worker, or -1. */
    long lastArrivalMs() {
        synchronized (arrivals) {
            return arrivals.isEmpty() ? -1 : arrivals.get(arrivals.size() - 1).atMs;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
