import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 messages and a plain server, as far as the stand-ins need them. */
final class Http {
    private Http() {}

    /** A received message: a request or a response. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        /** The status of a response. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String query(String name) {
            String target = target();
            int mark = target.indexOf('?');
            if (mark < 0) return null;
            for (String part : target.substring(mark + 1).split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(part.substring(name.length() + 1), java.nio.charset.StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Reads a head, or returns null if the channel ended before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the channel ended in a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the channel ended in a line");
            }
            if (c == '\n') {
                String text = line.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
    }

    /** Reads the body that [message] announces. */
    static void readBody(Message message, InputStream in) throws IOException {
        String length = message.header("content-length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("the channel ended in a body");
        } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)).length > 0) body.write(chunk);
            message.body = body.toByteArray();
        }
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("the channel ended between chunks");
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) throw new EOFException("the channel ended in a chunk");
        readLine(in);
        return chunk;
    }

    /** One accepted channel. */
    static final class Channel {
        final Socket socket;
        final OutputStream out;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        /** Writes a complete answer. */
        void answer(int status, List<String> headers, String body) throws IOException {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (String header : headers) text.append(header).append("\r\n");
            byte[] content = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            text.append("Content-Length: ").append(content.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(Rig.bytes(text.toString()));
            all.write(content);
            write(all.toByteArray());
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Whether the caller has closed the channel. Nothing may be sent on it meanwhile. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    interface Handler {
        /** Answers [request]; returns false if the channel is to be closed. */
        boolean handle(Message request, Channel channel) throws Exception;
    }

    /** A server with a thread for each channel. */
    static final class Server implements AutoCloseable {
        final String host;
        final int port;
        private final Handler handler;
        private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.port = port;
            this.handler = handler;
            listen();
        }

        void listen() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(host, port), 128);
            listener = opened;
            Rig.start("accept " + host + ":" + port, () -> {
                while (!opened.isClosed()) {
                    Socket socket = opened.accept();
                    socket.setTcpNoDelay(true);
                    Rig.start("channel " + host + ":" + port, () -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            Channel channel = new Channel(socket);
            channels.add(channel);
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = readHead(in);
                    if (request == null) return;
                    readBody(request, in);
                    if (!handler.handle(request, channel)) return;
                }
            } catch (IOException e) {
                // The caller has closed or reset the channel.
            } finally {
                channels.remove(channel);
            }
        }

        /** Closes the listener and resets the open channels, as when a process ends. */
        void down() throws IOException {
            listener.close();
            List<Channel> open = new ArrayList<>(channels);
            open.forEach(Channel::reset);
        }

        @Override
        public void close() throws IOException {
            down();
        }
    }
}
