package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for a worker: registers in the store, writes there every 1.2 s, and serves one request at a time on a channel. */
class Worker {
    private static final long HEARTBEAT_MS = 1_200;
    private static final int ANSWER_BYTES = 800;
    private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");
    private static final AtomicLong HANDLES = new AtomicLong(System.nanoTime());

    final Store store;
    final String id;
    final String service;
    final String zone;
    final int slots;
    final long born = System.currentTimeMillis();
    final Record record;
    /** The requests and pieces that were run, by id. */
    final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private long sequence;
    private volatile boolean isRegistered = true;

    Worker(Store store, Record record, String host, String service, String id, String zone, int slots) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.id = id;
        this.zone = zone;
        this.slots = slots;
        server = new ServerSocket(0, 256, InetAddress.getByName(host));
        Rig.thread("worker " + id, this::accept);
        Rig.thread("heartbeat " + id, () -> {
            while (isRegistered) {
                register("ready");
                Rig.sleep(HEARTBEAT_MS);
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private synchronized void register(String state) {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + ++sequence
            + ",\"born\":" + born + "}");
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Rig.thread("channel of " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                String target = request.header("Monsoonpath-Target-Instance");
                if (target != null && !target.equals(id)) {
                    out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nMonsoonpath-Instance-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n"));
                } else if (request.target().equals("/monsoonpath/stage-run")) {
                    respondJson(out, runPieces(request.text()));
                } else if (request.target().equals("/monsoonpath/stage-free")) {
                    respondJson(out, "{}");
                } else {
                    answer(request, out);
                }
                out.flush();
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private static void respondJson(OutputStream out, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
    }

    /** Works for the time of a call on pieces and returns the handles of their results. */
    private String runPieces(String call) {
        List<String> results = new ArrayList<>();
        Matcher ids = ID.matcher(call);
        while (ids.find()) {
            ran.add(ids.group(1));
            results.add("{\"handle\":\"" + address() + "/" + Long.toHexString(HANDLES.incrementAndGet()) + "\"}");
        }
        Rig.sleep(60 + 4L * results.size());
        return "{\"items\":[" + String.join(",", results) + "]}";
    }

    /** Runs a request and answers it. */
    void answer(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("Monsoonpath-Request-Id");
        if (requestId == null) {
            out.write(Http.bytes("HTTP/1.1 400 Bad Request\r\nMonsoonpath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        recordRun(request);
        if (request.header("Monsoonpath-Token-Count") != null) stream(requestId, out);
        else plain(requestId, out);
    }

    void recordRun(Http.Message request) {
        String requestId = request.header("Monsoonpath-Request-Id");
        ran.add(requestId);
        record.line("run at %s: %s, id %s, body of %d bytes", id, request.start, requestId, request.body.length);
    }

    void plain(String requestId, OutputStream out) throws IOException {
        Rig.sleep(20);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nMonsoonpath-Request-Id: " + requestId + "\r\nMonsoonpath-Response-Signature: s." + requestId
            + "\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n" + "x".repeat(ANSWER_BYTES)));
    }

    void stream(String requestId, OutputStream out) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMonsoonpath-Request-Id: " + requestId
            + "\r\nMonsoonpath-Response-Signature: s." + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int event = 1; event <= 4; event++) {
            String text = "id: " + event + "\ndata: tokens\n\n";
            out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
            Rig.sleep(20);
        }
        out.write(Http.bytes("0\r\n\r\n"));
    }
}
