package rig;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Wire {
    /** The head of a message; header names are in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String path() {
            return line.split(" ")[1];
        }

        long length() {
            String text = header("content-length");
            return text == null ? -1 : Long.parseLong(text.trim());
        }

        boolean isChunked() {
            return "chunked".equalsIgnoreCase(header("transfer-encoding"));
        }
    }

    /** A body; it is incomplete if the connection ended before its end. */
    record Body(byte[] bytes, boolean isComplete) {}

    /** Decides how fast a body is read. */
    interface Pace {
        void afterBytes(long total) throws IOException;
    }

    private Wire() {}

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next head, or null if the connection ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int b = in.read();
            if (b < 0 && bytes.size() == 0) return null;
            if (b < 0) throw new EOFException("the connection ended inside a head");
            bytes.write(b);
            last = (last << 8) | b;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).trim().split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).trim().toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    /** Reads the body that belongs to head. A response without a length ends with its connection. */
    static Body readBody(InputStream in, Head head, boolean isResponse, Pace pace) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = true;
        if (head.isChunked()) {
            isComplete = copyChunks(in, body, pace);
        } else if (head.length() >= 0) {
            isComplete = copy(in, body, head.length(), pace);
        } else if (isResponse) {
            isComplete = copy(in, body, Long.MAX_VALUE, pace);
        }
        return new Body(body.toByteArray(), isComplete);
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream to, long count, Pace pace) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = count;
        while (left > 0) {
            int n;
            try {
                n = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            } catch (SocketException reset) {
                return false;
            }
            if (n < 0) return count == Long.MAX_VALUE;
            to.write(buffer, 0, n);
            left -= n;
            pace.afterBytes(to.size());
        }
        return true;
    }

    private static boolean copyChunks(InputStream in, ByteArrayOutputStream body, Pace pace) throws IOException {
        try {
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!line(in).isEmpty()) continue;
                    return true;
                }
                if (!copy(in, body, size, pace)) return false;
                line(in);
            }
        } catch (EOFException | SocketException end) {
            return false;
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) throw new EOFException("the connection ended inside a line");
            if (b == '\n') return text.toString().trim();
            text.append((char) b);
        }
    }
}
