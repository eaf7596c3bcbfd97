package rig;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A worker crashes, and its address goes to a worker of another service before its entry in the store expires. */
final class ReusedAddressCase {
    private static final long HEARTBEAT_MS = 1_200;
    private static final long REUSE_AFTER_MS = 2_000;
    private static final int GROUP_SIZE = 14;

    /** One of them is replaced: 0.143 of the service. */
    private static final int WORKERS = 7;

    private ReusedAddressCase() {}

    public static void main(String[] args) {
        Rig.main(args, 1, ReusedAddressCase::run);
    }

    private static void run(Rig rig, boolean hasTrouble) throws Exception {
        byte[] answer = new byte[800];
        Arrays.fill(answer, (byte) 'a');
        Worker.Behaviour sound = call -> {
            call.readBody();
            Thread.sleep(60);
            call.answer(answer);
            return true;
        };
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) workers.add(new Worker(rig.record, "127.0.0.1", 0, "i-0" + i, Rig.SERVICE, 0, sound));
        for (Worker it : workers) rig.register(it);
        Worker crashes = workers.get(1);
        rig.startInstances();
        group(rig, answer);
        Thread.sleep(1_500);
        if (hasTrouble) {
            crashes.crash();
            Thread.sleep(REUSE_AFTER_MS + 100);
            rig.register(new Worker(rig.record, "127.0.0.1", crashes.port, "i-11", "other-desk", 0, sound));
        }
        group(rig, answer);
        if (hasTrouble) {
            Thread.sleep(3 * HEARTBEAT_MS - REUSE_AFTER_MS);
            rig.store.remove("servers/" + crashes.id);
        }
        Thread.sleep(1_500);
        group(rig, answer);
    }

    /** Some callers send one request each at the same time. */
    private static void group(Rig rig, byte[] answer) throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < GROUP_SIZE; i++) {
            boolean isSafe = i % 2 == 0;
            callers.add(Rig.daemon(() -> {
                Caller.Answer got = Caller.send(rig.record, rig.entries.get(0).host, isSafe ? "GET" : "POST",
                    isSafe ? Rig.SAFE_PATH : Rig.UNSAFE_PATH, 1_500, new byte[isSafe ? 0 : 600], 0, total -> {});
                if (got.isSuccess() && !Arrays.equals(got.body().bytes(), answer)) {
                    rig.record.broken("MIXED: %s got a signed success of %d bytes that begins with '%s'; the worker's body has %d",
                        got.id(), got.body().bytes().length, new String(got.body().bytes(), 0, 24), answer.length);
                }
            }));
        }
        for (Thread it : callers) it.join();
    }
}
