package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker of the platform. It answers a request for another instance with 421 and leaves all others to its behaviour. */
final class Worker {
    /** Serves one request whose head was read; returns whether the connection is kept. */
    interface Behaviour {
        boolean serve(Call call) throws Exception;
    }

    /** A request at a worker, before its body was read. */
    final class Call {
        final Wire.Head head;
        final Socket socket;

        private Call(Wire.Head head, Socket socket) {
            this.head = head;
            this.socket = socket;
        }

        String id() {
            return head.header("Monsoonpath-Request-Id");
        }

        byte[] readBody() throws IOException {
            return Wire.readBody(socket.getInputStream(), head, false, total -> {}).bytes();
        }

        /** Writes a signed answer with a length. */
        void answer(byte[] body) throws IOException {
            write(signedHead() + "Content-Length: " + body.length + "\r\n\r\n", body);
        }

        String signedHead() {
            return "HTTP/1.1 200 OK\r\nMonsoonpath-Request-Id: " + id() + "\r\nMonsoonpath-Response-Signature: s." + id() + "\r\n"
                + "Monsoonpath-Instance-Id: " + Worker.this.id + "\r\n";
        }

        void write(String head, byte[] body) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(Wire.ascii(head));
            out.write(body);
            out.flush();
        }
    }

    final String id;
    final String service;
    final int port;
    private final String host;
    private final RunRecord record;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long bornUnixMs = System.currentTimeMillis();
    volatile boolean isGone;

    /** Starts a worker; port 0 takes a free one, and receiveBufferBytes 0 leaves the system's size. */
    Worker(RunRecord record, String host, int port, String id, String service, int receiveBufferBytes, Behaviour behaviour) throws IOException {
        this.record = record;
        this.host = host;
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        if (receiveBufferBytes > 0) listener.setReceiveBufferSize(receiveBufferBytes);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 64);
        this.port = listener.getLocalPort();
        Rig.daemon(this::accept);
    }

    /** Returns the entry that this worker has in the store. */
    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + port + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
            + "\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + bornUnixMs + "}";
    }

    /** Ends the worker as a crash does: nothing listens any more, and its connections are closed. */
    void crash() throws IOException {
        isGone = true;
        record.line("worker %s: gone", id);
        listener.close();
        for (Socket socket : open) socket.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            open.add(socket);
            Rig.daemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            boolean isKept = true;
            while (isKept) {
                Wire.Head head = Wire.readHead(in);
                if (head == null) return;
                Call call = new Call(head, socket);
                String target = head.header("Monsoonpath-Target-Instance");
                if (target != null && !target.equals(id)) {
                    call.readBody();
                    misdirected(call, target);
                    continue;
                }
                record.line("worker %s: gets %s %s of %s", id, call.id(), head.line(), head.header("Monsoonpath-Tenant"));
                isKept = behaviour.serve(call);
            }
        } catch (IOException end) {
            record.line("worker %s: a connection ended: %s", id, end.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    private void misdirected(Call call, String target) throws IOException {
        record.line("worker %s: 421 for %s, which expects %s", id, call.id(), target);
        byte[] body = Wire.ascii("this is another instance\n");
        call.write(
            "HTTP/1.1 421 Misdirected Request\r\nMonsoonpath-Request-Id: " + call.id() + "\r\nMonsoonpath-Instance-Id: " + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length + "\r\n\r\n",
            body);
    }
}
