package rig2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a case records what was sent, answered and run. Times are milliseconds since its start. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(String file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d  %s%n", nowMs(), String.format(format, values));
    }

    /** Records a line and prints it. */
    void result(String format, Object... values) {
        String text = String.format(format, values);
        line("%s", text);
        System.out.println(text);
    }
}
