package rig;

import java.util.ArrayList;
import java.util.List;

/** An instance gets SIGTERM while callers on slow links read answers that their worker has sent in full. */
final class SlowReaderCase {
    private static final long GRACE_MS = 8_000;
    private static final int DEADLINE_MS = 12_000;
    private static final int CALLERS = 48;
    private static final int SMALLEST_ANSWER_BYTES = 5_800_000;
    private static final int ANSWER_STEP_BYTES = 65_000;
    private static final int LINK_BYTES_PER_MS = 1_200;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    private SlowReaderCase() {}

    public static void main(String[] args) {
        Rig.main(args, 1, SlowReaderCase::run);
    }

    private static void run(Rig rig, boolean hasTrouble) throws Exception {
        Worker worker = new Worker(rig.record, "127.0.0.1", 0, "i-01", Rig.SERVICE, 0, call -> {
            byte[] body = new byte[Integer.parseInt(call.head.path().substring(Rig.SAFE_PATH.length()))];
            Thread.sleep(60);
            call.answer(body);
            rig.record.line("worker i-01: has sent its answer to %s, %d bytes", call.id(), body.length);
            return true;
        });
        rig.register(worker);
        rig.startInstances();
        Entry entry = rig.entries.get(0);
        long[] termAtMs = {Long.MAX_VALUE};
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int size = SMALLEST_ANSWER_BYTES + i * ANSWER_STEP_BYTES;
            callers.add(Rig.daemon(() -> call(rig, entry, size, termAtMs)));
        }
        Thread.sleep(500);
        if (hasTrouble) {
            termAtMs[0] = rig.record.nowMs();
            entry.terminate();
        }
        for (Thread it : callers) it.join();
    }

    private static void call(Rig rig, Entry entry, int size, long[] termAtMs) {
        long startMs = rig.record.nowMs();
        Caller.Answer got = Caller.send(rig.record, entry.host, "GET", Rig.SAFE_PATH + size, DEADLINE_MS, new byte[0], RECEIVE_BUFFER_BYTES, total -> {
            try {
                Thread.sleep(Math.max(0, startMs + total / LINK_BYTES_PER_MS - rig.record.nowMs()));
            } catch (InterruptedException e) {
                throw new java.io.IOException(e);
            }
        });
        long endMs = rig.record.nowMs();
        boolean isComplete = got.head() != null && got.body().isComplete();
        // Within the grace period and before the deadline, an answer that the worker has given must arrive.
        if (!isComplete && endMs < termAtMs[0] + GRACE_MS && endMs < startMs + DEADLINE_MS) {
            rig.record.broken("LOST: %s ended with %s of %d bytes, %d ms after SIGTERM and %d ms before its deadline",
                got.id(), got.head() == null ? "none" : "" + got.body().bytes().length, size, endMs - termAtMs[0], startMs + DEADLINE_MS - endMs);
        }
    }
}
