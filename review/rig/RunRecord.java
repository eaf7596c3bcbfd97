package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, with milliseconds since the start, to record.txt. */
final class RunRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<String> violations = new ArrayList<>();

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%6d ", nowMs()) + String.format(format, values));
    }

    /** Records that the rule was broken. */
    synchronized void broken(String format, Object... values) {
        String text = String.format(format, values);
        violations.add(text);
        line("BROKEN %s", text);
    }

    synchronized int brokenCount() {
        return violations.size();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
