package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: items with revisions, pages and watches. It keeps its whole history. */
final class Store {
    private record Change(String key, String value, long revision) {
    }

    private static final int PAGE = 50;
    private final ServerSocket server;
    private final TreeMap<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName(host));
        Rig.thread("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long put(String key, byte[] value) {
        Change change = new Change(key, Base64.getEncoder().encodeToString(value), ++revision);
        items.put(key, change);
        history.add(change);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Change(key, null, ++revision));
        notifyAll();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Rig.thread("store call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                byte[] body = answer(request.target()).getBytes(StandardCharsets.UTF_8);
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private String answer(String target) {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return target.startsWith("/monsoonpath/kv-range")
            ? range(query.get("prefix"), query.get("after"))
            : watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean hasMore = false;
        for (Change item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (page.size() == PAGE) {
                hasMore = true;
                break;
            }
            page.add(json(item));
        }
        return "{\"items\":[" + String.join(",", page) + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs) {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : history) if (change.revision > after && change.key.startsWith(prefix)) events.add(json(change));
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static String json(Change item) {
        String start = "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision;
        return item.value == null ? start + ",\"removed\":true}"
            : start + ",\"created_at\":" + item.revision + ",\"lease\":0,\"value\":\"" + item.value + "\"}";
    }
}
