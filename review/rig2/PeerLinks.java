package rig2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The links between instances. Each instance has internal ports of its own, which it takes for those of all machines; a proxy at these
 * ports of every other machine passes on what it sends, from its own address.
 */
final class PeerLinks {
    private static final int PORTS = 2;
    private static final int MAX_DATAGRAM = 65_535;

    /** A channel between two instances. A silent one is not closed and passes nothing on. */
    private static final class Channel {
        final Socket from;
        final Socket to = new Socket();
        volatile boolean isSilent;

        Channel(Socket from) {
            this.from = from;
        }
    }

    private final List<Channel> channels = new CopyOnWriteArrayList<>();

    /** Passes on what the instance at {@code sender} sends to its port at {@code receiver}, to the receiver's own port. */
    void connect(String sender, int senderPort, String receiver, int receiverPort) throws IOException {
        InetAddress source = InetAddress.getByName(sender);
        ServerSocket server = new ServerSocket(senderPort, 64, InetAddress.getByName(receiver));
        Rig.thread("link", () -> {
            while (true) {
                Socket from = server.accept();
                Rig.thread("link channel", () -> open(from, source, new InetSocketAddress(receiver, receiverPort)));
            }
        });
        for (int port = 0; port < PORTS; port++) {
            DatagramSocket in = new DatagramSocket(senderPort + port, InetAddress.getByName(receiver));
            DatagramSocket out = new DatagramSocket(0, source);
            InetSocketAddress target = new InetSocketAddress(receiver, receiverPort + port);
            Rig.thread("link datagrams", () -> {
                DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM], MAX_DATAGRAM);
                while (true) {
                    packet.setLength(MAX_DATAGRAM);
                    in.receive(packet);
                    try {
                        out.send(new DatagramPacket(packet.getData(), packet.getLength(), target));
                    } catch (IOException e) {
                        // The receiver does not run yet.
                    }
                }
            });
        }
    }

    private void open(Socket from, InetAddress source, InetSocketAddress target) throws IOException {
        Channel channel = new Channel(from);
        try {
            channel.to.bind(new InetSocketAddress(source, 0));
            channel.to.connect(target);
        } catch (IOException e) {
            from.close();
            return;
        }
        from.setTcpNoDelay(true);
        channel.to.setTcpNoDelay(true);
        channels.add(channel);
        Rig.thread("link back", () -> pass(channel, channel.to, from));
        pass(channel, from, channel.to);
    }

    private void pass(Channel channel, Socket in, Socket out) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream input = in.getInputStream();
            OutputStream output = out.getOutputStream();
            int length;
            while ((length = input.read(buffer)) >= 0) {
                if (channel.isSilent) return;
                output.write(buffer, 0, length);
            }
        } catch (IOException e) {
            // Reset by one end.
        }
        if (channel.isSilent) return;
        channels.remove(channel);
        in.close();
        out.close();
    }

    /** Silences all open channels for good and returns their number; channels that are opened from now on work. */
    int silence() {
        List<Channel> open = List.copyOf(channels);
        open.forEach(channel -> channel.isSilent = true);
        return open.size();
    }

    /** Returns the number of channels that are open and work. */
    long working() {
        return channels.stream().filter(channel -> !channel.isSilent).count();
    }
}
