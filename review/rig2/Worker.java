package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for a worker: registers in the store, writes there every 1.2 s, and serves one request at a time on a channel. After a crash it
 * comes back under its id and address.
 */
class Worker {
    private static final long HEARTBEAT_MS = 1_200;
    private static final int ANSWER_BYTES = 800;
    private static final int STREAM_EVENTS = 4;
    private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");
    private static final AtomicLong HANDLES = new AtomicLong(System.nanoTime());

    final Store store;
    final String id;
    final String service;
    final String zone;
    final int slots;
    final Record record;
    /** The requests and pieces that were run, by id. */
    final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private long born;
    private long sequence;

    Worker(Store store, Record record, String host, String service, String id, String zone, int slots) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.id = id;
        this.zone = zone;
        this.slots = slots;
        server = new ServerSocket(0, 256, InetAddress.getByName(host));
        address = (InetSocketAddress) server.getLocalSocketAddress();
        start();
    }

    String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void start() {
        ServerSocket current = server;
        born = System.currentTimeMillis();
        sequence = 0;
        Rig.thread("worker " + id, () -> accept(current));
        Rig.thread("heartbeat " + id, () -> {
            while (!current.isClosed()) {
                register("ready");
                Rig.sleep(HEARTBEAT_MS);
            }
        });
    }

    /** Resets all channels and refuses new ones for some time. The entry stays in the store, where it expires after three heartbeats. */
    final synchronized boolean crash(long downMs) {
        ServerSocket crashed = server;
        if (crashed.isClosed()) return false;
        close(crashed);
        for (Socket channel : channels) reset(channel);
        Rig.thread("restart of " + id, () -> {
            Rig.sleep(downMs);
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(address, 256);
            server = next;
            start();
        });
        return true;
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed by the caller.
        }
    }

    private synchronized void register(String state) {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + ++sequence
            + ",\"born\":" + born + "}");
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket socket = current.accept();
                channels.add(socket);
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
            // The caller has left, or this worker has crashed.
        } finally {
            channels.remove(socket);
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
        if (request.header("Monsoonpath-Token-Count") != null) stream(requestId, out, STREAM_EVENTS);
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

    void stream(String requestId, OutputStream out, int events) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMonsoonpath-Request-Id: " + requestId
            + "\r\nMonsoonpath-Response-Signature: s." + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int event = 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: tokens\n\n";
            out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
            Rig.sleep(20);
        }
        out.write(Http.bytes("0\r\n\r\n"));
    }
}
