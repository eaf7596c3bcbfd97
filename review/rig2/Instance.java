package rig2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A process of the program under test, started with the line 'run' of the deploy file and settings like those of kvt-monsoon. */
final class Instance {
    private static final List<Instance> STARTED = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Instance::endAll));
    }

    final String name;
    final String host;
    final int callerPort;
    private final int readyPort;
    private final Path settings;
    private final Path log;
    private final String root;
    private Process process;

    /**
     * @param root the folder of the repository
     * @param seeds the addresses of some instances
     * @param internalPort the first internal port
     */
    Instance(String root, Path folder, String name, String host, String zone, String seeds, int internalPort, String store)
        throws IOException {
        this.root = root;
        this.name = name;
        this.host = host;
        callerPort = Rig.freePort(host);
        readyPort = Rig.freePort(host);
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, String.join("\n",
            "node=" + name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + host, "zone=" + zone,
            "region=hu-central", "zones.gyor-a=hu-central", "zones.tatab-b=hu-central", "zones.buda-c=hu-central",
            "listen.front=" + host + ":" + callerPort, "listen.ready=" + host + ":" + readyPort,
            "listen.control=" + host + ":" + Rig.freePort(host), "internal_ports=" + internalPort + "," + (internalPort + 15),
            "seeds=" + seeds, "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.75", "limits.cores=1",
            "limits.memory_mb=430", "limits.file_descriptors=4200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
            "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
            "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3",
            "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
            "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.fail_closed=false", "bounds.revoke_ms=5000",
            "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=52", "bounds.cold_overage=1.5",
            "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=120",
            "bounds.reuse_window_s=9.8", "platform.address=" + store, "platform.form=read", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000", ""));
        STARTED.add(this);
    }

    /** Starts a process; its log is appended to that of earlier ones. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(root));
        builder.directory(new File(root));
        builder.environment().keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MONSOONPATH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    private static List<String> command(String root) throws IOException {
        for (String line : Files.readAllLines(Path.of(root, "deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return new ArrayList<>(Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no line 'run'");
    }

    boolean isReady() {
        try {
            HttpURLConnection call = (HttpURLConnection) new URL("http://" + host + ":" + readyPort + "/monsoonpath/readyz").openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal to the process, such as TERM, KILL, STOP, CONT or HUP. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** Returns the number of lines in the log that contain the text. */
    long logged(String text) throws IOException {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    Path log() {
        return log;
    }

    static void endAll() {
        for (Instance instance : STARTED) {
            Process process = instance.process;
            if (process == null) continue;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
