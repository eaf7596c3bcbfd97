import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** A stand-in of the platform's store, for reading over HTTP and for writing by the operator and the workers of a case. */
final class Store implements AutoCloseable {
    private record Item(String value, long revision, long createdAt) {}

    private record Event(String key, long revision, String json) {}

    /** A copy of the store. */
    record Copy(TreeMap<String, Object> items, List<Object> history, long revision) {}

    private static final int PAGE = 50;

    private TreeMap<String, Item> items = new TreeMap<>();
    private List<Event> history = new ArrayList<>();
    private long revision = 400;
    private long era = 1;
    private boolean isDown;
    final Http.Server server;

    Store(String host) throws IOException {
        server = new Http.Server(host, Rig.freePort(host), this::handle);
    }

    /** Writes [value] under [key] and returns the revision. */
    synchronized long put(String key, String value) {
        if (isDown) throw new IllegalStateException("the store is away");
        revision++;
        Item old = items.get(key);
        Item item = new Item(Base64.getEncoder().encodeToString(value.getBytes()), revision, old == null ? revision : old.createdAt);
        items.put(key, item);
        history.add(new Event(key, revision, json(key, item)));
        Rig.note("store: revision " + revision + " " + key + " " + value);
        notifyAll();
        return revision;
    }

    /** Removes [key] and returns the revision. */
    synchronized long remove(String key) {
        if (isDown) throw new IllegalStateException("the store is away");
        revision++;
        items.remove(key);
        history.add(new Event(key, revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"));
        Rig.note("store: revision " + revision + " " + key + " removed");
        notifyAll();
        return revision;
    }

    /** Whether writes are refused at the moment. */
    synchronized boolean isDown() {
        return isDown;
    }

    /** Whether the value of [key] contains [text]. */
    synchronized boolean holds(String key, String text) {
        Item item = items.get(key);
        return item != null && new String(Base64.getDecoder().decode(item.value)).contains(text);
    }

    synchronized Copy copy() {
        Rig.say("store: copied at revision " + revision);
        return new Copy(new TreeMap<>(items), new ArrayList<>(history), revision);
    }

    synchronized void goDown() throws IOException {
        isDown = true;
        server.down();
        Rig.say("store: away, was at revision " + revision);
    }

    /** Comes back, from [copy] if it isn't null. */
    synchronized void comeBack(Copy copy) throws IOException {
        if (copy != null) {
            TreeMap<String, Item> restored = new TreeMap<>();
            copy.items.forEach((key, item) -> restored.put(key, (Item) item));
            items = restored;
            history = new ArrayList<>();
            copy.history.forEach(event -> history.add((Event) event));
            revision = copy.revision;
            era++;
        }
        isDown = false;
        server.listen();
        Rig.say("store: back at revision " + revision + ", era " + era);
    }

    private String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"created_at\":" + item.createdAt + ",\"lease\":0}";
    }

    private boolean handle(Http.Message request, Http.Channel channel) throws Exception {
        switch (request.path()) {
            case "/monsoonpath/kv-range" -> range(request, channel);
            case "/monsoonpath/kv-watch" -> watch(request, channel);
            default -> answer(channel, 404, "{}");
        }
        return true;
    }

    private void answer(Http.Channel channel, int status, String body) throws IOException {
        channel.answer(status, List.of("Content-Type: application/json", "Store-Era: " + era), body);
    }

    private void range(Http.Message request, Http.Channel channel) throws IOException {
        String prefix = request.query("prefix");
        String after = request.query("after");
        List<String> page = new ArrayList<>();
        boolean hasMore = false;
        long at;
        synchronized (this) {
            at = revision;
            for (var entry : items.tailMap(prefix).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) break;
                if (after != null && entry.getKey().compareTo(after) <= 0) continue;
                if (page.size() == PAGE) {
                    hasMore = true;
                    break;
                }
                page.add(json(entry.getKey(), entry.getValue()));
            }
        }
        answer(channel, 200, "{\"items\":[" + String.join(",", page) + "],\"has_more\":" + hasMore + ",\"at\":" + at + "}");
    }

    private void watch(Http.Message request, Http.Channel channel) throws Exception {
        String prefix = request.query("prefix");
        long after = Long.parseLong(request.query("after"));
        long endsAtMs = Rig.nowMs() + Math.min(30_000, Long.parseLong(request.query("wait_ms")));
        List<String> events = new ArrayList<>();
        long at;
        synchronized (this) {
            if (after > revision) {
                Rig.note("store: a watch of " + prefix + " after " + after + " gets 410");
                at = -1;
            } else {
                while (true) {
                    for (Event event : history) {
                        if (event.revision > after && event.key.startsWith(prefix)) events.add(event.json);
                    }
                    long leftMs = endsAtMs - Rig.nowMs();
                    if (!events.isEmpty() || leftMs <= 0 || isDown) break;
                    wait(leftMs);
                }
                at = revision;
            }
        }
        if (at < 0) answer(channel, 410, "{}");
        else answer(channel, 200, "{\"events\":[" + String.join(",", events) + "],\"at\":" + at + "}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
