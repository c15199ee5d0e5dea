package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two machines carry the traffic. Both are replaced as planned, ten times: two new ones start, and when they are ready
 * the old ones get SIGTERM, are removed for good, and no longer respond. Then a config with a new
 * route is accepted. A request for that route that is sent later than `config_apply` (2 s) after that must not be
 * refused with 404.
 */
final class ManyReplaced {
    private static final int ROUNDS = 10;
    private static final long CONFIG_APPLY = 2_000;
    private static final long STABLE_WINDOW = 3_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Deployment deployment = new Deployment(record, List.of("a"));
        for (int i = 0; i < 3; i++) {
            new Endpoint("i-" + i, Deployment.DESK, "a", false, 2, 20, deployment.nextHost(), deployment.store, record)
                .report("ready");
        }
        List<Instance> live = List.of(deployment.start("a"), deployment.start("a"));
        deployment.awaitReady(30_000);
        List<Thread> removals = new ArrayList<>();
        for (int i = 0; trouble && i < ROUNDS; i++) {
            List<Instance> next = List.of(deployment.start("a"), deployment.start("a"));
            for (Instance instance : next) instance.awaitReady(30_000);
            for (Instance old : live) {
                old.signal("TERM");
                record.write("%s gets SIGTERM and does not come back", old.name);
                removals.add(Http.daemon(() -> {
                    old.awaitPowerOff();
                    deployment.remove(old);
                }));
            }
            live = next;
        }
        for (Thread removal : removals) removal.join();
        record.write("%d instances are left", deployment.instances.size());
        Thread.sleep(STABLE_WINDOW + 2_000);

        deployment.putConfiguration(2);
        long accepted = Record.now();
        int late = 0;
        int refused = 0;
        int served = 0;
        for (int i = 0; i < 150; i++) {
            long after = Record.now() - accepted;
            int status = deployment.send(deployment.choose("a"), deployment.nextId(), "GET", "/new/x", -1).status;
            if (after > CONFIG_APPLY) {
                late++;
                if (status == 404) refused++;
                if (status == 200) served++;
            }
            Thread.sleep(80);
        }
        deployment.finish(refused > 0, refused + " of " + late + " requests that were sent later than 2 s after the ack of "
            + "the config were refused with 404, " + served + " were served");
    }
}
