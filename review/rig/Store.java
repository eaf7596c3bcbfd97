package rig;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's metadata store, read only for its callers. Each caller has a listener of its own, so that it can be cut off alone. */
final class Store {
    private record Event(String key, String value, long revision) {}

    /** What one caller connects to. */
    final class Door {
        final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
        private volatile boolean isCut;

        Door(String host) throws IOException {
            listener = new ServerSocket(0, 64, InetAddress.getByName(host));
            Rig.daemon(this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** From now on, the channels that are open carry nothing any more; new ones work. */
        void silenceOpenChannels() {
            silent.addAll(open);
            record.line("store: %d open channels of %s are silent from now on", silent.size(), address());
        }

        /** Cuts this caller off: its channels are silent, and new ones are reset. */
        void setCut(boolean isCutNow) {
            isCut = isCutNow;
            if (isCutNow) silent.addAll(open);
            record.line("store: %s is %s", address(), isCutNow ? "cut off" : "back");
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                if (isCut) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    continue;
                }
                open.add(socket);
                Rig.daemon(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                InputStream in = socket.getInputStream();
                for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
                    byte[] response = respond(head.path(), socket);
                    // A silent channel is kept open and says nothing.
                    if (!silent.contains(socket)) socket.getOutputStream().write(response);
                }
            } catch (IOException end) {
                // The caller has left.
            } finally {
                open.remove(socket);
            }
        }

        private byte[] respond(String target, Socket socket) throws IOException {
            Map<String, String> query = new TreeMap<>();
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                query.put(pair.substring(0, pair.indexOf('=')), URLDecoder.decode(pair.substring(pair.indexOf('=') + 1), StandardCharsets.UTF_8));
            }
            String body =
                target.startsWith("/monsoonpath/kv-range") ? range(query) : watch(query, () -> silent.contains(socket));
            return Wire.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    private final RunRecord record;
    private final TreeMap<String, Event> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    Store(RunRecord record) {
        this.record = record;
    }

    Door door(String host) throws IOException {
        return new Door(host);
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized void put(String key, String json) {
        Event event = new Event(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), ++revision);
        items.put(key, event);
        add(event);
        record.line("store: revision %d, %s = %s", revision, key, json.length() > 200 ? json.length() + " bytes" : json);
    }

    /** Removes an item; the return is the acknowledgement. */
    synchronized void remove(String key) {
        items.remove(key);
        add(new Event(key, null, ++revision));
        record.line("store: revision %d, %s removed", revision, key);
    }

    private void add(Event event) {
        history.add(event);
        notifyAll();
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.get("prefix");
        List<String> found = new ArrayList<>();
        for (Event it : items.values()) if (it.key.startsWith(prefix)) found.add(json(it));
        return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query, java.util.function.BooleanSupplier isOver) throws IOException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long endsAtMs = record.nowMs() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            List<String> found = new ArrayList<>();
            for (Event it : history) if (it.revision > after && it.key.startsWith(prefix)) found.add(json(it));
            long leftMs = endsAtMs - record.nowMs();
            if (!found.isEmpty() || leftMs <= 0 || isOver.getAsBoolean()) {
                return "{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}";
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private static String json(Event it) {
        String rest = it.value == null ? ",\"removed\":true" : ",\"value\":\"" + it.value + "\",\"created_at\":" + it.revision + ",\"lease\":0";
        return "{\"key\":\"" + it.key + "\",\"revision\":" + it.revision + rest + "}";
    }
}
