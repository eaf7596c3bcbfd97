package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One channel of a consumer to an instance. */
final class Caller implements AutoCloseable {
    final Socket socket = new Socket();
    final BufferedInputStream in;

    Caller(Instance instance, int readTimeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(instance.host, instance.callerPort), 1_000);
        socket.setSoTimeout(readTimeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Sends a request and returns the response, or null if the channel was closed without one. */
    Http.Message call(byte[] request) throws IOException {
        send(request);
        return Http.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
