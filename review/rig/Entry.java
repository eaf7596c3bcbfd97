package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the platform's program, started with the command of the deploy file. */
final class Entry {
    static final int FRONT_PORT = 8625;
    private static final int READY_PORT = 8621;
    private static final int CONTROL_PORT = 8628;

    final String host;
    final String name;
    private final RunRecord record;
    private final Path root;
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(RunRecord record, Path root, Path folder, String name, String host, String storeAddress, List<String> hosts) throws IOException {
        this.record = record;
        this.root = root;
        this.name = name;
        this.host = host;
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log");
        List<String> seeds = new ArrayList<>();
        for (String it : hosts) seeds.add(it + ":" + CONTROL_PORT);
        Files.writeString(settings, text(storeAddress, seeds));
    }

    /** The settings of the small deployment kvt-monsoon, with loopback addresses. */
    private String text(String storeAddress, List<String> seeds) {
        return String.join("\n",
            "node=" + name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + host, "zone=zone-a", "region=region",
            "zones.zone-a=region", "listen.front=" + host + ":" + FRONT_PORT, "listen.ready=" + host + ":" + READY_PORT,
            "listen.control=" + host + ":" + CONTROL_PORT, "internal_ports=7740,7755", "seeds=" + String.join(",", seeds),
            "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430",
            "limits.file_descriptors=4200", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
            "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
            "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3",
            "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
            "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.fail_closed=false", "bounds.revoke_ms=5000",
            "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=52", "bounds.cold_overage=1.5",
            "bounds.cold_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12", "bounds.pass_ms=120",
            "bounds.reuse_window_s=9.8", "platform.address=" + storeAddress, "platform.form=read", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000", "");
    }

    /** Starts the process; its output is added to the log file. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no line 'run'");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MONSOONPATH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        record.line("entry %s: started", name);
    }

    /** Waits until the instance says that it is ready. */
    void awaitReady() throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < endNanos) {
            if (isReady()) {
                record.line("entry %s: ready", name);
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("entry " + name + " did not become ready");
    }

    boolean isReady() {
        try (java.net.Socket socket = new java.net.Socket(host, READY_PORT)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Wire.ascii("GET /monsoonpath/readyz HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"));
            return Wire.readHead(socket.getInputStream()).status() == 200;
        } catch (IOException | NullPointerException e) {
            return false;
        }
    }

    void terminate() {
        record.line("entry %s: SIGTERM", name);
        process.destroy();
    }

    void kill() throws InterruptedException {
        record.line("entry %s: SIGKILL", name);
        process.destroyForcibly().waitFor();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Returns a loopback address on which all ports of an instance are free. */
    static String freeHost(int number) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            String host = "127." + (100 + (int) (Math.random() * 100)) + "." + (1 + (int) (Math.random() * 250)) + "." + number;
            if (isFree(host, FRONT_PORT) && isFree(host, READY_PORT) && isFree(host, CONTROL_PORT) && isFree(host, 7740) && isFree(host, 9464)) {
                return host;
            }
        }
        throw new IOException("no loopback address has free ports");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
