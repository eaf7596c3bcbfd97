import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry instance: the program of the deploy file as a process of its own, started with the line 'run' there. */
final class Entry implements AutoCloseable {
    private static final int METRICS_PORT = 9464;

    final String name;
    final String host;
    final int callerPort;
    private final int readyPort;
    private final File settings;
    private final File log;
    private Process process;

    private Entry(String name, String host, int[] ports, List<String> hosts, Store store, File folder, List<String> extra) throws IOException {
        this.name = name;
        this.host = host;
        callerPort = ports[0];
        readyPort = ports[1];
        settings = new File(folder, name + ".conf");
        log = new File(folder, name + ".log");
        List<String> seeds = new ArrayList<>();
        for (String seed : hosts) seeds.add(seed + ":" + ports[2]);
        List<String> lines = new ArrayList<>(List.of(
            "node=" + name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + host, "zone=z-a", "region=r",
            "zones.z-a=r", "listen.front=" + host + ":" + callerPort, "listen.ready=" + host + ":" + readyPort,
            "listen.control=" + host + ":" + ports[2], "internal_ports=" + ports[3] + "," + (ports[3] + 15),
            "seeds=" + String.join(",", seeds), "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.75", "limits.cores=1",
            "limits.memory_mb=430", "limits.file_descriptors=4200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
            "discovery=platform", "entry=vip", "heartbeat_ms=1200", "fault_tolerance.machines=2", "fault_tolerance.zones=1",
            "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000",
            "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.fail_closed=false",
            "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=52",
            "bounds.cold_overage=1.5", "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=120",
            "bounds.reuse_window_s=9.8", "platform.address=" + store.server.host + ":" + store.server.port, "platform.form=read",
            "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576"));
        lines.addAll(extra);
        Files.write(settings.toPath(), lines);
    }

    /** Starts [count] instances and waits until they are ready. */
    static List<Entry> start(int count, Store store, String... extra) throws Exception {
        File folder = Rig.tempFolder();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) hosts.add(Rig.freeHost(METRICS_PORT));
        int[] ports = freePorts(hosts);
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Entry entry = Rig.closing(new Entry("entry-" + i, hosts.get(i), ports, hosts, store, folder, List.of(extra)));
            entry.startProcess();
            entries.add(entry);
        }
        long endsAtMs = Rig.nowMs() + 30_000;
        for (Entry entry : entries) {
            while (!entry.isReady()) {
                if (Rig.nowMs() > endsAtMs) throw new IllegalStateException(entry.name + " did not become ready: " + entry.logText());
                Rig.sleep(100);
            }
        }
        Rig.say(count + " instances are ready");
        return entries;
    }

    /** Ports that are free at all [hosts]: of callers, of readiness checks, of control, and the first of sixteen internal ones. */
    private static int[] freePorts(List<String> hosts) throws IOException {
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) ports[i] = Rig.freePort(hosts.get(0));
        return ports;
    }

    /** Starts the process with the line 'run' of the deploy file, in the folder of the project. */
    void startProcess() throws IOException {
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        if (run == null) throw new IllegalStateException("deploy/system.toml has no line 'run'");
        ProcessBuilder builder = new ProcessBuilder(run.split(" +"));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MONSOONPATH_NODE_FILE", settings.getPath());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        Rig.note(name + ": started with process id " + process.pid() + " at " + host + ":" + callerPort);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the memory of the process by the kernel's account. */
    String memory() throws IOException {
        if (!process.isAlive()) return "no process";
        StringBuilder text = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmHWM") || line.startsWith("VmRSS")) text.append(line.replaceAll("\\s+", " ")).append(' ');
        }
        return text.toString().trim();
    }

    private boolean isReady() {
        try (Client client = new Client(host, readyPort)) {
            return client.send("GET", "/monsoonpath/readyz", List.of("Host: " + host), "", 1000).status == 200;
        } catch (Exception e) {
            return false;
        }
    }

    /** Sends [signal] to the process. */
    void signal(String signal) throws Exception {
        Rig.say(name + ": " + signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Kills the process and waits for its end. */
    void kill() throws Exception {
        Rig.say(name + ": killed");
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    String logText() throws IOException {
        return log.exists() ? Files.readString(log.toPath()) : "";
    }

    /** Copies those lines of the process's log that contain one of [words] into the record. */
    void noteLog(String... words) throws IOException {
        for (String line : logText().split("\n")) {
            for (String word : words) {
                if (line.contains(word)) {
                    Rig.note(name + " log: " + line);
                    break;
                }
            }
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null && process.isAlive()) process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
}
