package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer leaves an entry that can't be read in the store. Later an endpoint reports `draining`, and the store
 * accepts it. No request may reach that endpoint later than `drain` (2 s) after that.
 */
final class UnreadableEntry {
    private static final long DRAIN = 2_000;
    private static final long STABLE_WINDOW = 3_000;
    private static volatile long drainingSince = Long.MAX_VALUE;
    private static final List<Long> late = new ArrayList<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        List<String> zones = List.of("a", "b", "c");
        Deployment deployment = new Deployment(record, zones);
        List<Endpoint> endpoints = new ArrayList<>();
        for (String zone : zones) {
            for (int i = 0; i < (zone.equals("a") ? 1 : 2); i++) {
                boolean leaves = endpoints.isEmpty();
                Endpoint endpoint = new Endpoint("i-" + zone + i, Deployment.DESK, zone, false, 2, 20,
                    deployment.nextHost(), deployment.store, record) {
                    @Override
                    protected void onArrival(String request, int key) {
                        long after = Record.now() - drainingSince;
                        if (!leaves || after <= DRAIN) return;
                        synchronized (late) {
                            late.add(after);
                        }
                        record.write("%s: %s reaches it %d ms after the store accepted its draining", id, request, after);
                    }
                };
                endpoint.report("ready");
                endpoints.add(endpoint);
            }
        }
        for (String zone : zones) deployment.start(zone);
        deployment.awaitReady(30_000);

        long end = Record.now() + 24_000;
        List<Thread> consumers = new ArrayList<>();
        for (String zone : zones) {
            consumers.add(Http.daemon(() -> {
                while (Record.now() < end) {
                    deployment.send(deployment.choose(zone), deployment.nextId(), "GET", "/list/x", -1);
                    Thread.sleep(80);
                }
            }));
        }
        Thread.sleep(4_000);
        if (trouble) {
            deployment.store.put("servers", "i-other", "[".repeat(2_000));
            record.write("store: another writer puts an entry of 2,000 bytes that can't be read");
        }
        Thread.sleep(STABLE_WINDOW + 2_000);
        endpoints.get(0).report("draining");
        drainingSince = Record.now();
        for (Thread consumer : consumers) consumer.join();
        deployment.finish(!late.isEmpty(), late.size() + " requests reached an endpoint later than 2 s after its draining"
            + (late.isEmpty() ? "" : ", the last one " + late.get(late.size() - 1) + " ms after it"));
    }
}
