import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** What all cases share: the clock, the record, free addresses, and the end of everything that was started. */
final class Rig {
    /** Exit codes of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long START_NS = System.nanoTime();
    private static final List<AutoCloseable> OPENED = new ArrayList<>();
    private static BufferedWriter record;

    private Rig() {}

    /** A case: returns whether the rule was broken. */
    interface Case {
        boolean run(boolean withTrouble) throws Exception;
    }

    /** Runs [body], writes the record into [folder] and exits. */
    static void main(String folder, Case body) {
        int code = COULD_NOT_RUN;
        try {
            record = Files.newBufferedWriter(Path.of(folder, "record.txt"));
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::closeAll));
            boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
            say("trouble: " + (withTrouble ? "yes" : "no"));
            code = body.run(withTrouble) ? BROKEN : HELD;
            say(code == BROKEN ? "RESULT: the rule was broken" : "RESULT: the rule held");
        } catch (Throwable t) {
            say("could not run: " + t);
            t.printStackTrace();
        }
        closeAll();
        try {
            if (record != null) record.close();
        } catch (IOException ignored) {
            // The exit code tells the result.
        }
        Runtime.getRuntime().halt(code);
    }

    static synchronized <T extends AutoCloseable> T closing(T opened) {
        OPENED.add(opened);
        return opened;
    }

    private static synchronized void closeAll() {
        for (int i = OPENED.size() - 1; i >= 0; i--) {
            try {
                OPENED.get(i).close();
            } catch (Exception ignored) {
                // It has ended already.
            }
        }
        OPENED.clear();
    }

    /** Returns the milliseconds since the start of the case. */
    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    /** Adds a line with the time to the record. */
    static synchronized void note(String text) {
        if (record == null) return;
        try {
            record.write(String.format(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text));
        } catch (IOException ignored) {
            // The record was closed at the end of the case.
        }
    }

    /** Adds a line to the record and prints it. */
    static void say(String text) {
        note(text);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
    }

    static void sleepUntil(long atMs) throws InterruptedException {
        long waitMs = atMs - nowMs();
        if (waitMs > 0) Thread.sleep(waitMs);
    }

    static void sleep(long ms) throws InterruptedException {
        Thread.sleep(ms);
    }

    /** Runs [body] on a thread of its own. */
    static void start(String name, Task body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                note(name + " ended: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    interface Task {
        void run() throws Exception;
    }

    /** Returns a loopback address at which the given port is free. */
    static String freeHost(int port) {
        for (int i = 0; i < 100; i++) {
            String host = "127.0.0." + ThreadLocalRandom.current().nextInt(2, 255);
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(host, port));
                return host;
            } catch (IOException e) {
                // In use; another address is tried.
            }
        }
        throw new IllegalStateException("no loopback address with a free port " + port);
    }

    /** Returns a port that is free at [host]. */
    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(host, 0));
            return probe.getLocalPort();
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static File tempFolder() throws IOException {
        File folder = Files.createTempDirectory("monsoonpath-review").toFile();
        closing(() -> {
            File[] files = folder.listFiles();
            if (files != null) for (File file : files) file.delete();
            folder.delete();
        });
        return folder;
    }
}
