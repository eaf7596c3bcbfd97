package rig;

import java.util.ArrayList;
import java.util.List;

/** The open channels to the store go silent, and a worker leaves soon after. */
final class SilentStoreCase {
    private static final int INSTANCES = 3;
    private static final int CALLERS_PER_INSTANCE = 4;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long DRAIN_MS = 2_000;

    /** Some workers serve on for seconds after the end of the drain. */
    private static final long SERVES_ON_MS = 2_500;

    /** Added to the bounds, for the machine that runs the case. */
    private static final long SLACK_MS = 250;

    private SilentStoreCase() {}

    public static void main(String[] args) {
        Rig.main(args, INSTANCES, SilentStoreCase::run);
    }

    private static void run(Rig rig, boolean hasTrouble) throws Exception {
        long[] lateFromMs = {Long.MAX_VALUE};
        Worker stays = new Worker(rig.record, "127.0.0.1", 0, "i-01", Rig.SERVICE, 0, call -> answer(call));
        Worker leaves = new Worker(rig.record, "127.0.0.1", 0, "i-02", Rig.SERVICE, 0, call -> {
            if (rig.record.nowMs() > lateFromMs[0]) {
                rig.record.broken("DRAIN: %s reached worker i-02 %d ms after the end of its drain", call.id(), rig.record.nowMs() - lateFromMs[0] + SLACK_MS);
            }
            return answer(call);
        });
        // Each change of the list ends the waiting calls of all instances, which therefore wait in step afterwards.
        Worker joins = new Worker(rig.record, "127.0.0.1", 0, "i-03", "other-desk", 0, call -> answer(call));
        rig.register(stays);
        rig.register(leaves);
        rig.startInstances();
        boolean[] isOver = {false};
        List<Thread> callers = new ArrayList<>();
        for (Entry entry : rig.entries) for (int i = 0; i < CALLERS_PER_INSTANCE; i++) callers.add(Rig.daemon(() -> callUntil(rig, entry, isOver)));
        Thread.sleep(1_000);
        rig.register(joins);
        Thread.sleep(100);
        if (hasTrouble) rig.doors.forEach(Store.Door::silenceOpenChannels);
        long silentAtMs = rig.record.nowMs();
        Thread.sleep(1_000);
        rig.store.remove("servers/i-02");
        // The machines are in touch from three seconds after the reset, which is what silent channels count as.
        lateFromMs[0] = Math.max(rig.record.nowMs() + DRAIN_MS, silentAtMs + STABLE_WINDOW_MS) + SLACK_MS;
        Thread.sleep(DRAIN_MS + SERVES_ON_MS);
        leaves.crash();
        Thread.sleep(1_000);
        isOver[0] = true;
        for (Thread it : callers) it.join();
    }

    private static boolean answer(Worker.Call call) throws Exception {
        call.readBody();
        Thread.sleep(85);
        call.answer(new byte[800]);
        return true;
    }

    private static void callUntil(Rig rig, Entry entry, boolean[] isOver) throws InterruptedException {
        while (!isOver[0]) {
            Caller.send(rig.record, entry.host, "POST", Rig.UNSAFE_PATH, 1_500, new byte[600], 0, total -> {});
            Thread.sleep(100);
        }
    }
}
