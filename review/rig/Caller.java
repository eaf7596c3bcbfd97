package rig;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A consumer of the platform. */
final class Caller {
    private static final AtomicLong NUMBER = new AtomicLong();

    /** The end of one consumer attempt; head is null if there was no answer. */
    record Answer(String id, Wire.Head head, Wire.Body body, String failure) {
        boolean isSuccess() {
            return head != null && head.status() / 100 == 2;
        }

        boolean isSigned() {
            return head != null && head.header("Monsoonpath-Response-Signature") != null;
        }

        String text() {
            if (head == null) return failure;
            return head.status() + ", " + body.bytes().length + " bytes, " + (body.isComplete() ? "complete" : "incomplete")
                + (isSigned() ? ", signed" : "");
        }
    }

    private Caller() {}

    static String nextId() {
        return String.format("%08x%08x", NUMBER.incrementAndGet(), (int) System.nanoTime());
    }

    /** Sends one request on a new channel and reads its answer. */
    static Answer send(RunRecord record, String host, String method, String path, int deadlineMs, byte[] body, int receiveBufferBytes, Wire.Pace pace) {
        String id = nextId();
        record.line("caller: sends %s %s %s to %s, deadline %d ms", id, method, path, host, deadlineMs);
        Answer answer = attempt(id, host, method, path, deadlineMs, body, receiveBufferBytes, pace);
        record.line("caller: %s gets %s", id, answer.text());
        return answer;
    }

    private static Answer attempt(
            String id, String host, String method, String path, int deadlineMs, byte[] body, int receiveBufferBytes, Wire.Pace pace) {
        try (Socket socket = new Socket()) {
            if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
            socket.connect(new java.net.InetSocketAddress(host, Entry.FRONT_PORT), 1_000);
            socket.setSoTimeout(deadlineMs);
            // The answer may arrive while the body is being sent.
            Rig.daemon(() -> socket.getOutputStream().write(join(head(id, host, method, path, deadlineMs, body.length), body)));
            Wire.Head head = Wire.readHead(socket.getInputStream());
            if (head == null) return new Answer(id, null, null, "a closed channel without an answer");
            return new Answer(id, head, Wire.readBody(socket.getInputStream(), head, true, pace), null);
        } catch (IOException e) {
            return new Answer(id, null, null, e.toString());
        }
    }

    private static byte[] head(String id, String host, String method, String path, int deadlineMs, int length) {
        return Wire.ascii(method + " " + path + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nMonsoonpath-Request-Id: " + id
            + "\r\nMonsoonpath-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + Rig.KEY
            + (length > 0 || method.equals("POST") ? "\r\nContent-Length: " + length : "") + "\r\n\r\n");
    }

    private static byte[] join(byte[] a, byte[] b) {
        byte[] all = java.util.Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }
}
