package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The three machines of a zone are stopped with SIGTERM and started again in turn, one each second. While fewer than
 * half of them are in rotation, the platform gives new connections to all of them. A booking that a stopping process
 * has read and passed on must be answered.
 */
final class LateAfterTerm {
    private static final long GRACE = 6_000;
    private static final long EARLY = 3_000;
    private static final long GAP = 1_000;
    private static final int ROUNDS = 6;
    private static final Map<String, Long> runsAt = new ConcurrentHashMap<>();
    private static final Map<String, Long> termAt = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Deployment deployment = new Deployment(record, List.of("a"));
        for (int i = 0; i < 4; i++) {
            new Endpoint("i-" + i, Deployment.DESK, "a", false, 4, 290, deployment.nextHost(), deployment.store, record) {
                @Override
                protected void onRun(String request, int key) {
                    runsAt.put(request, Record.now());
                }

                @Override
                protected long work(Http.Message call) {
                    return call.start[1].endsWith("long") ? 1_500 : workMilliseconds;
                }
            }.report("ready");
        }
        for (int i = 0; i < 3; i++) deployment.start("a");
        deployment.awaitReady(30_000);

        long end = Record.now() + ROUNDS * 12_000 + 4_000;
        List<String> lost = Collections.synchronizedList(new ArrayList<>());
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int number = i;
            consumers.add(Http.daemon(() -> {
                for (int sent = 0; Record.now() < end; sent++) {
                    Instance instance = deployment.choose("a");
                    String id = deployment.nextId();
                    long sentAt = Record.now();
                    String path = (number + sent) % 10 == 0 ? "/book/long" : "/book/x";
                    Deployment.Result result = deployment.send(instance, id, "POST", path, -1);
                    long now = Record.now();
                    Long stoppedAt = termAt.get(instance.name);
                    if (result.status == 0 && stoppedAt != null && runsAt.containsKey(id)) {
                        long sentAfter = sentAt - stoppedAt;
                        long lostAfter = now - stoppedAt;
                        boolean excused = sentAfter <= EARLY && lostAfter >= GRACE * 5 / 6;
                        boolean counts = sentAfter >= 0 && lostAfter <= GRACE + 1_000 && now - sentAt < 2_400 && !excused;
                        if (counts) lost.add(id);
                        record.write("%s was sent to %s %d ms after its SIGTERM, ran, and its connection ended %d ms after "
                            + "it without an answer%s", id, instance.name, sentAfter, lostAfter, counts ? "" : " (excused)");
                    }
                    Thread.sleep(150);
                }
            }));
        }
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(3_000);
            for (Instance instance : List.copyOf(deployment.instances)) {
                if (trouble) {
                    termAt.put(instance.name, Record.now());
                    instance.signal("TERM");
                    record.write("%s gets SIGTERM", instance.name);
                    Http.daemon(instance::restart);
                }
                Thread.sleep(GAP);
            }
            Thread.sleep(6_000);
        }
        for (Thread consumer : consumers) consumer.join();
        deployment.finish(!lost.isEmpty(), lost.size() + " bookings that a stopping process had passed on ended without "
            + "an answer");
    }
}
