package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A faulty worker refuses a request, writes that refusal once more on the kept channel and breaks off in its head. */
final class BrokenExtraAnswerCase {
    private static final int CALLERS = 8;

    /** How long one of the two workers spoils one in fifty of its answers. */
    private static final int FAULT_MS = 5_000;
    private static final int SPOILS_EVERY = 50;

    /** Both workers refuse some requests, as workers do whose queue is full for a moment. */
    private static final int REFUSES_EVERY = 25;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private volatile boolean isFaulty;
    private volatile boolean isOver;

    private BrokenExtraAnswerCase() {}

    public static void main(String[] args) {
        Rig.main(args, 1, (rig, hasTrouble) -> new BrokenExtraAnswerCase().run(rig, hasTrouble));
    }

    private void run(Rig rig, boolean hasTrouble) throws Exception {
        rig.register(worker(rig, "i-01", hasTrouble));
        rig.register(worker(rig, "i-02", false));
        rig.startInstances();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) callers.add(Rig.daemon(() -> callUntilOver(rig)));
        Thread.sleep(1_000);
        isFaulty = true;
        Thread.sleep(FAULT_MS);
        isFaulty = false;
        Thread.sleep(1_000);
        isOver = true;
        for (Thread it : callers) it.join();
    }

    private void callUntilOver(Rig rig) throws InterruptedException {
        while (!isOver) {
            Caller.Answer got =
                Caller.send(rig.record, rig.entries.get(0).host, "POST", Rig.UNSAFE_PATH, 1_500, new byte[600], 0, total -> {});
            Thread.sleep(20);
            int count = runs.getOrDefault(got.id(), 0);
            if (count > 1) rig.record.broken("TWICE: %s ran %d times", got.id(), count);
            boolean isPromise = got.head() != null && (got.head().status() == 429 || got.head().status() == 503);
            if (count > 0 && isPromise) rig.record.broken("REFUSED: %s ran and was answered %d", got.id(), got.head().status());
        }
    }

    private Worker worker(Rig rig, String id, boolean canBeFaulty) throws Exception {
        int[] arrivals = {0};
        return new Worker(rig.record, "127.0.0.1", 0, id, Rig.SERVICE, 0, call -> {
            call.readBody();
            int number;
            synchronized (arrivals) {
                number = ++arrivals[0];
            }
            if (number % REFUSES_EVERY == 0) {
                String first = "HTTP/1.1 503 Service Unavailable\r\nMonsoonpath-Not-Executed: 1";
                call.write(first + "\r\nMonsoonpath-Request-Id: " + call.id() + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                rig.record.line("worker %s: refuses %s", id, call.id());
                if (!canBeFaulty || !isFaulty || number % SPOILS_EVERY != 0) return true;
                Thread.sleep(5);
                call.write(first, new byte[0]);
                rig.record.line("worker %s: has written the first two lines of that refusal once more", id);
                return true;
            }
            runs.merge(call.id(), 1, Integer::sum);
            rig.record.line("worker %s: runs %s", id, call.id());
            Thread.sleep(40);
            call.answer(new byte[800]);
            return true;
        });
    }
}
