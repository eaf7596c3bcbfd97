package rig2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** What all cases use: threads, ports, waits and the end of a case. */
final class Rig {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    interface Action {
        void run() throws Exception;
    }

    /** The disruption is left out with TROUBLE=0. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Rig() {
    }

    static Thread thread(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns an address of the loopback range with the given last number; the others differ between runs. */
    static String host(int last) {
        return BASE + last;
    }

    private static final String BASE =
        "127." + ThreadLocalRandom.current().nextInt(10, 250) + "." + ThreadLocalRandom.current().nextInt(1, 250) + ".";

    /** Returns a port that is free at all loopback addresses of this run. */
    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static void waitUntil(String what, long timeoutMs, java.util.function.BooleanSupplier condition) {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) throw new IllegalStateException(what + ": not within " + timeoutMs + " ms");
            sleep(20);
        }
    }

    /** Runs a case and ends with its exit code; ends all processes that it started. */
    static void main(Callable body) {
        int code = COULD_NOT_RUN;
        try {
            code = body.call();
        } catch (Throwable e) {
            e.printStackTrace();
        } finally {
            Instance.endAll();
        }
        System.exit(code);
    }

    interface Callable {
        int call() throws Exception;
    }
}
