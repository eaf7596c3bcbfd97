import java.util.ArrayList;
import java.util.List;

/** The store comes back from a copy some seconds old; later a worker leaves; the rule DRAIN. */
final class RestoredStore {
    private static final int WORKERS = 4;
    private static final long DRAIN_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long COLD_MS = 3_000;
    private static final long AWAY_MS = 1_000;

    /** How long the leaving worker serves on after the ack: 'a little longer (at times many seconds)' than drain_ms. */
    private static final long SERVES_ON_MS = 8_000;

    private RestoredStore() {}

    public static void main(String[] args) {
        Rig.main(args[0], RestoredStore::run);
    }

    private static boolean run(boolean withTrouble) throws Exception {
        String host = Rig.freeHost(9464);
        Store store = Rig.closing(new Store(host));
        store.put("op/config", Traffic.config(7));
        List<Desk> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) workers.add(new Desk("i-" + i, host, store, "desk"));
        Desk leaving = workers.get(0);
        List<Entry> entries = Entry.start(2, store);
        Rig.sleep(3_000);
        Traffic traffic = new Traffic(entries, 12, 60);
        Rig.sleep(3_000);

        Store.Copy copy = store.copy();
        leaving.becomeCold(COLD_MS);
        Rig.say(leaving.id + ": cold for " + COLD_MS + " ms, as its entry tells");
        Rig.sleep(COLD_MS + 2_000);
        if (withTrouble) {
            store.goDown();
            Rig.sleep(AWAY_MS);
            store.comeBack(copy);
            Rig.sleep(500);
            leaving.writeAgain();
        }
        // After that the store is stable.
        Rig.sleep(2 * STABLE_WINDOW_MS);
        long ackedAtMs = leaving.drain();
        Rig.sleep(SERVES_ON_MS);
        long lateCount = leaving.arrivalsFrom(ackedAtMs + DRAIN_MS);
        long lastMs = leaving.lastArrivalMs() - ackedAtMs;
        leaving.exit();
        leaving.leave();
        Rig.sleep(2_000);
        traffic.end();
        for (Entry entry : entries) entry.noteLog("store.", "backend.", "instance.", "internal.error");
        Rig.say(leaving.id + ": " + lateCount + " requests reached it later than " + DRAIN_MS + " ms after the ack, the last one "
            + lastMs + " ms after it");
        return lateCount > 0;
    }
}
