package rig;

import java.util.Arrays;

/** A worker answers a long request before it has read all of it, without a length, and crashes in the middle of its answer. */
final class ResetAnswerCase {
    private static final int ROUNDS = 3;

    /** One of them crashes at a time: 0.17 of the service. */
    private static final int WORKERS = 6;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 800;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** The entry of a crashed worker is removed after three heartbeats. */
    private static final long EXPIRY_MS = 3_600;

    /** How long a worker is down until another takes its place. */
    private static final long DOWN_MS = 4_500;

    private ResetAnswerCase() {}

    public static void main(String[] args) {
        Rig.main(args, 1, ResetAnswerCase::run);
    }

    private static void run(Rig rig, boolean hasTrouble) throws Exception {
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        int[] started = {0};
        for (int i = 0; i < WORKERS; i++) startWorker(rig, started, answer, hasTrouble);
        rig.startInstances();
        for (int round = 0; round < ROUNDS; round++) {
            Caller.Answer got =
                Caller.send(rig.record, rig.entries.get(0).host, "POST", Rig.UNSAFE_PATH, 6_000, new byte[REQUEST_BYTES], 0, total -> {});
            if (got.isSuccess() && got.body().isComplete() && !Arrays.equals(got.body().bytes(), answer)) {
                rig.record.broken("MIXED: %s got a complete success of %d bytes; the worker's whole body has %d",
                    got.id(), got.body().bytes().length, ANSWER_BYTES);
            }
            Thread.sleep(DOWN_MS);
            if (hasTrouble) startWorker(rig, started, answer, true);
            Thread.sleep(1_500);
        }
    }

    private static void startWorker(Rig rig, int[] started, byte[] answer, boolean hasTrouble) throws Exception {
        String id = String.format("i-%02d", ++started[0]);
        Worker[] self = new Worker[1];
        self[0] = new Worker(rig.record, "127.0.0.1", 0, id, Rig.SERVICE, RECEIVE_BUFFER_BYTES, call -> {
            call.write(call.signedHead() + "Connection: close\r\n\r\n", Arrays.copyOf(answer, ANSWER_BYTES / 2));
            rig.record.line("worker %s: has sent %d of %d bytes of its answer to %s", id, ANSWER_BYTES / 2, ANSWER_BYTES, call.id());
            Thread.sleep(500);
            if (hasTrouble) {
                // The rest of the request was not read, so the operating system resets the channel, as for a process that was killed.
                self[0].crash();
                Thread.sleep(EXPIRY_MS);
                rig.store.remove("servers/" + id);
                return false;
            }
            call.readBody();
            call.write("", Arrays.copyOfRange(answer, ANSWER_BYTES / 2, ANSWER_BYTES));
            rig.record.line("worker %s: has sent the rest of its answer to %s", id, call.id());
            return false;
        });
        rig.register(self[0]);
    }
}
