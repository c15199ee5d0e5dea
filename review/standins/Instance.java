package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command of the deploy file. */
final class Instance {
    /** Readiness of the process as the platform sees it: two questions in a row without a 200 take it out. */
    private int misses = 2;
    private final int ready;
    private final int peers;
    private final ProcessBuilder builder;
    private volatile Process process;
    private boolean hasEnded;

    /** Keep the address of a machine without power silent: its queue of new connections stays full. */
    private final List<Socket> fillers = Collections.synchronizedList(new ArrayList<>());
    private ServerSocket silent;

    final String name;
    final String zone;
    final String host;
    final int front;

    Instance(String name, String zone, List<String> zones, String host, int[] ports, Store store, Path folder)
        throws IOException {
        this.name = name;
        this.zone = zone;
        this.host = host;
        front = ports[0];
        ready = ports[1];
        peers = ports[2];
        Path settings = folder.resolve(name + ".conf");
        Files.write(settings, settings(zones, ports, store));
        builder = new ProcessBuilder(command());
        builder.directory(new File(System.getProperty("review.root")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("RHUBARBSPOOL_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        Http.daemon(this::checkReadiness);
    }

    /** Whether the platform gives new connections to this instance. */
    synchronized boolean inRotation() {
        return misses < 2;
    }

    /** Waits until the platform gives new connections to this instance; exits with 2 if it does not in time. */
    void awaitReady(long milliseconds) throws InterruptedException {
        long end = Record.now() + milliseconds;
        while (!inRotation()) {
            if (Record.now() > end) {
                System.out.println(name + " did not become ready");
                System.exit(2);
            }
            Thread.sleep(50);
        }
    }

    /** Sends a signal such as TERM. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    /** Waits for the end of the process; from then on, connections to the address of its peers hang. */
    void awaitPowerOff() throws IOException, InterruptedException {
        process.waitFor();
        silent = new ServerSocket(peers, 1, InetAddress.getByName(host));
        for (int i = 0; i < 8; i++) {
            Http.daemon(() -> {
                fillers.add(new Socket(host, peers));
            });
        }
    }

    /** Starts the process again at the same address, with the same settings. */
    void restart() throws IOException, InterruptedException {
        process.waitFor();
        synchronized (this) {
            if (!hasEnded) process = builder.start();
        }
    }

    synchronized void end() {
        hasEnded = true;
        process.destroyForcibly();
    }

    private void checkReadiness() throws InterruptedException {
        while (true) {
            boolean isReady = false;
            try (Socket socket = new Socket(host, ready)) {
                socket.setSoTimeout(900);
                socket.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                isReady = Http.read(socket.getInputStream()).status() == 200;
            } catch (IOException | RuntimeException failed) {
                // Counts as a miss.
            }
            synchronized (this) {
                misses = isReady ? 0 : misses + 1;
            }
            Thread.sleep(1_000);
        }
    }

    private List<String> settings(List<String> zones, int[] ports, Store store) {
        List<String> lines = new ArrayList<>(List.of(
            "grants=rpc", "self.node=" + name, "self.role=instance", "self.machine_class=front",
            "self.serves=front", "self.ip=" + host, "self.zone=" + zone, "self.region=region",
            "self.counts_toward_quorum=false", "self.bootstrap=true", "self.limits.cpu_share=0.42",
            "self.limits.cores=1", "self.limits.memory_mb=352", "self.limits.max_fds=2870",
            "self.limits.link_mbps=700.0", "self.limits.disk_mb=0",
            "network.listen.front=" + host + ":" + ports[0], "network.listen.ready=" + host + ":" + ports[1],
            "network.port_range=" + ports[2] + "," + (ports[2] + 15),
            "platform.discovery=platform", "platform.entry=vip", "platform.heartbeat=870ms",
            "platform.platform.address=" + store.address, "platform.platform.form=table",
            "platform.platform.writes_per_s=400", "platform.platform.reads_per_s=2000",
            "platform.platform.tx=5ms", "platform.platform.part_writes_per_s=200",
            "platform.platform.row_bytes=65536", "platform.platform.across=false",
            "platform.platform.history=20s",
            "terms.contracts=base,drain,config,cost,retry,recover,own,places,platform",
            "terms.fault_tolerance.machines=2", "terms.fault_tolerance.zones=1",
            "terms.bounds.reuse_after=2s", "terms.bounds.stable_window=3000ms", "terms.bounds.drain=2000ms",
            "terms.bounds.grace=6s", "terms.bounds.lost_slack=200ms", "terms.bounds.config_apply=2000ms",
            "terms.bounds.retry_budget_ratio=0.2", "terms.bounds.retry_window=10s",
            "terms.bounds.retry_budget_slack=141", "terms.bounds.cold_over=1.5", "terms.bounds.cold_slack=5",
            "terms.bounds.evac=5000ms", "terms.bounds.recover=15s", "terms.bounds.hold_max=10000ms",
            "terms.bounds.thaw_slack=300ms"));
        zones.forEach(each -> lines.add("network.zones." + each + "=region"));
        return lines;
    }

    private static List<String> command() throws IOException {
        String deployFile = Files.readString(Path.of(System.getProperty("review.root"), "deploy", "system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
        if (!run.find()) throw new IOException("no run line in the deploy file");
        return Arrays.asList(run.group(1).split(" "));
    }
}
