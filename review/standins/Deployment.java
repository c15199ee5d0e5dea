package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * A small installation on loopback addresses: the store, endpoints, instances, and the platform's address that gives
 * each new connection of a consumer to an instance of the consumer's zone.
 */
final class Deployment implements AutoCloseable {
    /** Service without keys, with the unsafe route /book/ and the safe route /list/. */
    static final String DESK = "desk";

    /** Service that is divided by key, with the safe route /read/ and the unsafe route /move/. */
    static final String BOARD = "board";

    /** What became of a request. */
    static final class Result {
        /** Status of the answer; 0 if the connection ended without a whole one. */
        final int status;
        final String body;

        Result(int status, String body) {
            this.status = status;
            this.body = body;
        }
    }

    private static final long TIMEOUT = 3_000;
    private final List<String> zones;
    private final int[] ports;
    private final Path folder;
    private final Random random = new Random(1);
    private final AtomicLong ids = new AtomicLong();
    private int hosts = 10;

    final Record record;
    final Store store;
    final List<Instance> instances = new CopyOnWriteArrayList<>();

    Deployment(Record record, List<String> zones) throws IOException {
        this.record = record;
        this.zones = zones;
        folder = Files.createTempDirectory("review");
        store = new Store("127.0.0.2", 0);
        ports = freePorts();
        putConfiguration(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes a config, as the operator does; from version 2 on it also has the safe route /new/ to the desk. */
    void putConfiguration(int version) {
        store.put("op", "config", configuration(version));
        record.write("store: config r%d is accepted", version);
    }

    /** A loopback address of its own for a machine. */
    String nextHost() {
        return "127.0.0." + hosts++;
    }

    /** Starts an instance in a zone. */
    Instance start(String zone) throws IOException {
        String host = nextHost();
        Instance instance = new Instance("front-" + zone + "-" + hosts, zone, zones, host, ports, store, folder);
        synchronized (this) {
            instances.add(instance);
        }
        return instance;
    }

    /** Removes a machine for good. */
    synchronized void remove(Instance instance) {
        instance.end();
        instances.remove(instance);
    }

    /** Waits until all instances are ready; exits with 2 if they are not in time. */
    void awaitReady(long milliseconds) throws InterruptedException {
        for (Instance instance : instances) instance.awaitReady(milliseconds);
        record.write("all %d instances are ready", instances.size());
    }

    /** The instance to which the platform gives a new connection of a consumer in a zone. */
    synchronized Instance choose(String zone) {
        List<Instance> own = instances.stream().filter(each -> each.zone.equals(zone)).collect(Collectors.toList());
        List<Instance> ready = own.stream().filter(Instance::inRotation).collect(Collectors.toList());
        List<Instance> used = ready.size() * 2 >= own.size() ? ready : own;
        if (ready.isEmpty()) {
            List<Instance> others = instances.stream().filter(Instance::inRotation).collect(Collectors.toList());
            if (!others.isEmpty()) used = others;
        }
        return used.get(random.nextInt(used.size()));
    }

    String nextId() {
        return String.format("%016x", 0x5eed000000000000L + ids.incrementAndGet());
    }

    /** Sends a request on a new connection; key is -1 for a service that is not divided by key. */
    Result send(Instance instance, String id, String method, String path, int key) {
        String line = method + " " + path + " HTTP/1.1\r\nHost: " + "review.example" + "\r\n";
        String keyLine = key < 0 ? "" : "Rhubarbspool-Shard-Key: " + key + "\r\n";
        String length = method.equals("POST") ? "Content-Length: 0\r\n" : "";
        String head = line + "Rhubarbspool-Request-Id: " + id + "\r\nRhubarbspool-Request-Timeout-Ms: " + TIMEOUT
            + "\r\n" + keyLine + length + "\r\n";
        record.write("consumer: sends %s %s key %d to %s", id, path, key, instance.name);
        Result result;
        try (Socket socket = new Socket(instance.host, instance.front)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TIMEOUT);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            Http.Message answer = Http.read(socket.getInputStream());
            result = answer == null ? new Result(0, "closed") : new Result(answer.status(), answer.text());
        } catch (IOException failed) {
            result = new Result(0, failed.toString());
        }
        record.write("consumer: %s gets %d %s", id, result.status, result.body.trim());
        return result;
    }

    /** Ends all processes and stand-ins. */
    @Override
    public void close() {
        instances.forEach(Instance::end);
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) file.delete();
        folder.toFile().delete();
    }

    /** Ends the case: prints the outcome and exits with 1 if the rule was broken, else with 0. */
    void finish(boolean broken, String outcome) {
        record.write("%s", outcome);
        System.out.println((broken ? "BROKEN: " : "held: ") + outcome);
        System.exit(broken ? 1 : 0);
    }

    private String configuration(int version) {
        String routes = "{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\",\"target_latency\",\"priority\","
            + "\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":["
            + route("r-book", "/book/", "unsafe", 1, DESK) + "," + route("r-list", "/list/", "safe", 2, DESK) + ","
            + route("r-read", "/read/", "safe", 2, BOARD) + "," + route("r-move", "/move/", "unsafe", 1, BOARD)
            + (version < 2 ? "" : "," + route("r-new", "/new/", "safe", 2, DESK)) + "]}";
        String services = "{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\",\"warmup\","
            + "\"cold_per_s\",\"sharded\",\"warm\",\"grants\"],\"rows\":[[\"" + DESK
            + "\",\"/healthz\",295,\"h1\",false,\"3s\",2.6,null,null,null],[\"" + BOARD
            + "\",\"/healthz\",295,\"h1\",false,\"3s\",2.6,true,\"3s\",\"rpc\"]]}";
        return "{\"version\":\"r" + version + "\",\"routes\":" + routes + ",\"services\":" + services
            + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            + "\"idle_timeout\":\"15000ms\"}}";
    }

    private static String route(String name, String prefix, String kind, int priority, String service) {
        return "[\"" + name + "\",\"review.example\",\"" + prefix + "\",\"" + kind + "\",\"2500ms\",\"1500ms\","
            + priority + ",null,2,\"" + service + "\"]";
    }

    /** Ports for callers and readiness, and the first of 16 ports, all free on the addresses of the instances. */
    private int[] freePorts() throws IOException {
        Random bases = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = 20_000 + bases.nextInt(10_000);
            if (isFree(base, base + 20)) return new int[] {base, base + 1, base + 4};
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int from, int to) {
        for (int port = from; port < to; port++) {
            try (ServerSocket any = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
                any.setReuseAddress(true);
            } catch (IOException used) {
                return false;
            }
        }
        return true;
    }
}
