package rig2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages over blocking streams. Header names are compared without regard to case. */
final class Http {
    private static final int MAX_HEAD_BYTES = 1 << 20;

    /** A start line, header lines and a body. */
    static final class Message {
        String start;
        final List<String> lines = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String line : lines) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).trim().equalsIgnoreCase(name)) return line.substring(colon + 1).trim();
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {
    }

    /** Reads a start line and headers, byte by byte so that nothing after them is consumed; returns null if the stream has ended. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Message message = new Message();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0 && message.start == null) return null;
                throw new EOFException("the head ends early");
            }
            if (bytes.size() > MAX_HEAD_BYTES) throw new IOException("the head is too long");
            if (b != '\n') {
                bytes.write(b);
                continue;
            }
            String line = bytes.toString(StandardCharsets.ISO_8859_1);
            if (line.endsWith("\r")) line = line.substring(0, line.length() - 1);
            bytes.reset();
            if (message.start == null) {
                if (!line.isEmpty()) message.start = line;
            } else if (line.isEmpty()) {
                return message;
            } else {
                message.lines.add(line);
            }
        }
    }

    /** Reads a request or a response with its body; a response without a length ends with the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("Content-Length");
        String coding = message.header("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            message.body = readChunks(in);
        } else if (length != null) {
            message.body = readFully(in, Integer.parseInt(length));
        } else if (message.start.startsWith("HTTP/")) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            body.write(readFully(in, length));
            String end = readLine(in);
            if (length == 0) {
                while (!end.isEmpty()) end = readLine(in);
                return body.toByteArray();
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) throw new EOFException("the body ends early");
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ends after " + bytes.length + " of " + length + " bytes");
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
