import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a model worker: streams numbered events, keeps copies of other workers' runs, and goes on from them.
 *
 * A run is dropped when its channel closes, except where the worker has lost the answer itself.
 */
final class Model implements AutoCloseable {
    /** The part of a run that a copy on another worker holds. */
    private static final class Copied {
        volatile int events;
    }

    /** What was done for one request at this worker. */
    static final class Run {
        final String id;
        final String worker;
        final long startedAtMs = Rig.nowMs();
        final boolean goesOnFromCopy;
        volatile long endedAtMs = Long.MAX_VALUE;
        volatile long lostAtMs = -1;
        volatile int events;

        Run(String id, String worker, boolean goesOnFromCopy) {
            this.id = id;
            this.worker = worker;
            this.goesOnFromCopy = goesOnFromCopy;
        }
    }

    static final int EVENTS = 40;
    static final int EVENT_MS = 100;
    static final int SLOTS = 16;

    /** The event after which a lost answer ends. */
    private static final int LOST_AFTER = 10;

    /** Of so many requests that a worker runs in trouble, two lose their answer. */
    private static final int LOSS_CYCLE = 5;

    /** All workers of the case, by address. */
    private static final Map<String, Model> BY_ADDRESS = new ConcurrentHashMap<>();

    final String id;
    final String address;
    final List<Run> runs = new ArrayList<>();
    private final Http.Server server;
    private final Map<String, Copied> copies = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private int numberInTrouble;
    private volatile boolean losesAnswers;

    Model(String id, String host, Store store, String service, String zone) throws IOException {
        this.id = id;
        server = Rig.closing(new Http.Server(host, Rig.freePort(host), this::handle));
        address = host + ":" + server.port;
        BY_ADDRESS.put(address, this);
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
    }

    void losesAnswers(boolean loses) {
        losesAnswers = loses;
    }

    private boolean handle(Http.Message request, Http.Channel channel) throws Exception {
        String requestId = request.header("monsoonpath-request-id");
        String target = request.header("monsoonpath-target-instance");
        if (target != null && !target.equals(id)) {
            channel.answer(421, List.of("Monsoonpath-Instance-Id: " + id), "");
            return true;
        }
        String source = request.header("kv-from");
        int first = 1;
        if (source != null) {
            Copied copied = copies.remove(source.substring(source.indexOf('/') + 1));
            if (copied == null) {
                channel.answer(503, List.of("Monsoonpath-Not-Executed: 1"), "");
                return true;
            }
            first = Integer.parseInt(request.header("last-event-id")) + 1;
        }
        Run run = new Run(requestId, id, source != null);
        boolean isLost;
        synchronized (runs) {
            runs.add(run);
            isLost = losesAnswers && source == null && ++numberInTrouble % LOSS_CYCLE < 2;
        }
        Rig.note(id + ": runs " + requestId + (source == null ? "" : " from the copy, after event " + (first - 1)));
        stream(run, first, isLost, request.header("monsoonpath-kv-backup"), channel);
        return run.lostAtMs < 0 && run.events == EVENTS;
    }

    private void stream(Run run, int first, boolean isLost, String backup, Http.Channel channel) throws Exception {
        Copied copied = null;
        Model copyHost = backup == null ? null : BY_ADDRESS.get(backup);
        if (copyHost != null) {
            copied = new Copied();
            copyHost.copies.put(run.id, copied);
            Rig.note(run.worker + ": copies " + run.id + " to " + copyHost.id);
        }
        running.incrementAndGet();
        try {
            channel.write(Rig.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMonsoonpath-Request-Id: " + run.id
                + "\r\nMonsoonpath-Response-Signature: " + run.worker + "." + run.id + "\r\nMonsoonpath-Server-Load: " + running.get()
                + ",0," + SLOTS + ",100\r\nMonsoonpath-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"));
            for (int event = first; event <= EVENTS; event++) {
                Rig.sleep(EVENT_MS);
                run.events = event;
                if (copied != null) copied.events = event;
                if (run.lostAtMs >= 0) continue;
                String text = "id: " + event + "\ndata: " + run.id + " " + event + "\n\n";
                channel.write(Rig.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                if (isLost && event == LOST_AFTER) {
                    run.lostAtMs = Rig.nowMs();
                    channel.reset();
                    Rig.note(run.worker + ": the answer to " + run.id + " is lost after event " + event + ", the run goes on");
                }
            }
            if (run.lostAtMs < 0) channel.write(Rig.bytes("0\r\n\r\n"));
            if (copyHost != null) copyHost.copies.remove(run.id);
        } finally {
            run.endedAtMs = Rig.nowMs();
            running.decrementAndGet();
            Rig.note(run.worker + ": the work on " + run.id + " ends at event " + run.events);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Returns the runs of all [workers] by the id of the request. */
    static Map<String, List<Run>> runsById(List<Model> workers) {
        Map<String, List<Run>> byId = new LinkedHashMap<>();
        for (Model worker : workers) {
            synchronized (worker.runs) {
                for (Run run : worker.runs) byId.computeIfAbsent(run.id, key -> new ArrayList<>()).add(run);
            }
        }
        return byId;
    }
}
