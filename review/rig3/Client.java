import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A consumer's channel: one request at a time, and the channel is kept between them. */
final class Client implements AutoCloseable {
    /** What a consumer saw: the status is 0 if the channel ended before a head. */
    static final class Result {
        int status;
        Http.Message head;
        String body = "";
        boolean isComplete;
        String end = "complete";

        @Override
        public String toString() {
            return "status " + status + ", " + end + ", " + body.length() + " bytes";
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String host, int port) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads the whole answer, for [waitMs] at most between two bytes. */
    Result send(String method, String target, List<String> headers, String body, int waitMs) {
        Result result = new Result();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout(waitMs);
            StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            for (String header : headers) text.append(header).append("\r\n");
            if (!body.isEmpty()) text.append("Content-Length: ").append(body.length()).append("\r\n");
            socket.getOutputStream().write(Rig.bytes(text + "\r\n" + body));
            result.head = Http.readHead(in);
            if (result.head == null) {
                result.end = "closed before a head";
                return result;
            }
            result.status = result.head.status();
            if ("chunked".equalsIgnoreCase(result.head.header("transfer-encoding"))) {
                byte[] chunk;
                while ((chunk = Http.readChunk(in)).length > 0) received.write(chunk);
            } else {
                Http.readBody(result.head, in);
                received.write(result.head.body);
            }
            result.isComplete = true;
        } catch (IOException e) {
            result.end = "broken off: " + e.getMessage();
        }
        result.body = received.toString(StandardCharsets.UTF_8);
        return result;
    }

    /** Whether the channel can carry another request. */
    static boolean isKept(Result result) {
        return result.isComplete && result.head != null && !"close".equalsIgnoreCase(result.head.header("connection"));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
