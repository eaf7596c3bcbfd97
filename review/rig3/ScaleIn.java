import java.util.ArrayList;
import java.util.List;

/** Most workers of a small deployment are taken away together, without reporting that they drain; the rule DRAIN. */
final class ScaleIn {
    private static final int WORKERS = 6;
    private static final int TAKEN_AWAY = 4;
    private static final long DRAIN_MS = 2_000;

    /** How long each worker serves on after its ack: 'a little longer' than drain_ms. */
    private static final long SERVES_ON_MS = 2_500;

    /** The time between the removals of two entries: of those that are taken away together, and without the trouble. */
    private static final long GAP_MS = 50;
    private static final long LONG_GAP_MS = 3_500;

    private ScaleIn() {}

    public static void main(String[] args) {
        Rig.main(args[0], ScaleIn::run);
    }

    private static boolean run(boolean withTrouble) throws Exception {
        String host = Rig.freeHost(9464);
        Store store = Rig.closing(new Store(host));
        store.put("op/config", Traffic.config(7));
        List<Desk> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) workers.add(new Desk("i-" + i, host, store, "desk"));
        List<Entry> entries = Entry.start(2, store);
        Rig.sleep(3_000);
        Traffic traffic = new Traffic(entries, 12, 60);
        Rig.sleep(4_000);
        List<Desk> taken = workers.subList(0, TAKEN_AWAY);
        long[] ackedAtMs = new long[TAKEN_AWAY];
        for (int i = 0; i < TAKEN_AWAY; i++) {
            Desk worker = taken.get(i);
            ackedAtMs[i] = worker.leave();
            long exitsAtMs = ackedAtMs[i] + SERVES_ON_MS;
            Rig.start("exit of " + worker.id, () -> {
                Rig.sleepUntil(exitsAtMs);
                worker.exit();
            });
            // Without the trouble, they leave one after the other.
            Rig.sleep(withTrouble ? GAP_MS : LONG_GAP_MS);
        }
        Rig.sleep(SERVES_ON_MS + 1_000);
        long lateCount = 0;
        for (int i = 0; i < TAKEN_AWAY; i++) {
            Desk worker = taken.get(i);
            long late = worker.arrivalsFrom(ackedAtMs[i] + DRAIN_MS);
            lateCount += late;
            Rig.say(worker.id + ": " + late + " requests reached it later than " + DRAIN_MS + " ms after the ack, the last one "
                + (worker.lastArrivalMs() - ackedAtMs[i]) + " ms after it");
        }
        traffic.end();
        for (Entry entry : entries) entry.noteLog("store.", "backend.", "instance.", "internal.error");
        Rig.say(lateCount + " late requests in all");
        return lateCount > 0;
    }
}
