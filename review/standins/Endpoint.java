package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * An endpoint of a service: runs requests in its slots, queues a few more, and holds keys that were granted to it. A
 * request runs to its end, or is dropped when its connection closes.
 */
class Endpoint {
    private static final int QUEUE = 8;
    private static final String KEEP_ALIVE = "Keep-Alive: timeout=10\r\n";

    /** Keys that are granted until a time. */
    private static final class Hold {
        final int from;
        final int to;
        final long fence;
        final long until;

        Hold(int from, int to, long fence, long until) {
            this.from = from;
            this.to = to;
            this.fence = fence;
            this.until = until;
        }

        boolean overlaps(int first, int last) {
            return from <= last && first <= to;
        }
    }

    /** A request at work. */
    static final class Run {
        final String request;
        final int key;
        final long startedAt;

        Run(String request, int key, long startedAt) {
            this.request = request;
            this.key = key;
            this.startedAt = startedAt;
        }
    }

    final String id;
    final String service;
    final String zone;
    final boolean sharded;
    final int slots;
    final long workMilliseconds;
    final String address;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final ServerSocket server;
    private final List<Hold> holds = new ArrayList<>();
    private final List<Run> running = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private int waiting;
    private long sequence;

    /** Observes what the endpoint does. */
    protected final Record record;

    Endpoint(String id, String service, String zone, boolean sharded, int slots, long workMilliseconds, String host,
             Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.sharded = sharded;
        this.slots = slots;
        this.workMilliseconds = workMilliseconds;
        this.store = store;
        this.record = record;
        server = Http.listen(host, 0, this::serve);
        address = host + ":" + server.getLocalPort();
    }

    /** Writes the entry of this endpoint to the store; returns when the store has accepted it. */
    void report(String state) {
        store.put("servers", id, "{\"address\":\"" + address + "\",\"born\":" + born + ",\"info\":{\"service\":\""
            + service + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + ++sequence + ",\"warmup_left\":\"0ms\"}}");
        record.write("store: entry of %s is %s", id, state);
    }

    /** Requests at work now. */
    synchronized List<Run> running() {
        return new ArrayList<>(running);
    }

    /** Called when a request arrives, whatever becomes of it. */
    protected void onArrival(String request, int key) {
    }

    /** Called when a request starts to run. */
    protected void onRun(String request, int key) {
    }

    /** Called when keys are granted, before the answer is sent. */
    protected void onGrant(int from, int to, long fence, long until) {
    }

    /** Writes an answer to a request; {@code kind} is `request`, `grant`, `release` or `health`. */
    protected void write(Socket socket, String kind, byte[] answer) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(answer);
        output.flush();
    }

    /** Called when a call has arrived on a connection, before it is handled. */
    protected void onCall(Socket socket, Http.Message call) throws IOException {
    }

    /** Ends: its entry is removed, and its address takes no connections any more. */
    void end() throws IOException {
        store.put("servers", id, null);
        record.write("store: entry of %s is removed", id);
        server.close();
        synchronized (connections) {
            for (Socket connection : connections) connection.close();
        }
    }

    private void serve(Socket socket) throws IOException {
        synchronized (connections) {
            connections.add(socket);
        }
        for (Http.Message call = Http.read(socket.getInputStream()); call != null;
             call = Http.read(socket.getInputStream())) {
            onCall(socket, call);
            String path = call.start[1];
            if (path.equals("/healthz")) {
                write(socket, "health", Http.response(200, KEEP_ALIVE + "Rhubarbspool-Instance-Id: " + id + "\r\n", ""));
            } else if (path.equals("/api/grant")) {
                write(socket, "grant", grant(Json.object(call.text())));
            } else if (path.equals("/api/release")) {
                write(socket, "release", release(Json.object(call.text())));
            } else {
                write(socket, "request", request(call, socket));
            }
        }
    }

    private byte[] grant(Map<String, Object> body) {
        int from = ((Long) body.get("from")).intValue();
        int to = ((Long) body.get("target")).intValue();
        long fence = (Long) body.get("fence");
        long until = Record.now() + Long.parseLong(((String) body.get("hold_time")).replace("ms", ""));
        synchronized (this) {
            for (Hold known : holds) {
                if (known.overlaps(from, to) && known.fence > fence) return Http.response(409, KEEP_ALIVE, "");
            }
            cut(from, to);
            holds.add(new Hold(from, to, fence, until));
        }
        onGrant(from, to, fence, until);
        return Http.response(200, KEEP_ALIVE, "");
    }

    /** Stops new work on the keys at once; the answer follows when the work that was running on them has ended. */
    private byte[] release(Map<String, Object> body) {
        int from = ((Long) body.get("from")).intValue();
        int to = ((Long) body.get("target")).intValue();
        long fence = (Long) body.get("fence");
        synchronized (this) {
            cut(from, to);
            holds.add(new Hold(from, to, fence, 0));
            try {
                while (running.stream().anyMatch(run -> from <= run.key && run.key <= to)) wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        record.write("%s: released keys %d-%d", id, from, to);
        return Http.response(200, KEEP_ALIVE + "Rhubarbspool-Handover: h" + id + from + "\r\n", "");
    }

    /** Removes the keys from what is held; the fence of a part that is left stays. */
    private void cut(int from, int to) {
        List<Hold> rest = new ArrayList<>();
        for (Iterator<Hold> iterator = holds.iterator(); iterator.hasNext(); ) {
            Hold hold = iterator.next();
            if (!hold.overlaps(from, to)) continue;
            iterator.remove();
            if (hold.from < from) rest.add(new Hold(hold.from, from - 1, hold.fence, hold.until));
            if (hold.to > to) rest.add(new Hold(to + 1, hold.to, hold.fence, hold.until));
        }
        holds.addAll(rest);
    }

    /** Whether the key is held now. */
    synchronized boolean holds(int key) {
        return holds.stream().anyMatch(hold -> hold.overlaps(key, key) && Record.now() < hold.until);
    }

    private byte[] request(Http.Message call, Socket socket) throws IOException {
        String request = call.header("Rhubarbspool-Request-Id");
        String target = call.header("Rhubarbspool-Target-Instance");
        String keyText = call.header("Rhubarbspool-Shard-Key");
        int key = keyText == null ? -1 : Integer.parseInt(keyText);
        String echo = KEEP_ALIVE + "Rhubarbspool-Request-Id: " + request + "\r\n";
        String notRun = echo + "Rhubarbspool-Not-Executed: 1\r\n";
        onArrival(request, key);
        if (target != null && !target.equals(id)) {
            return Http.response(421, notRun + "Rhubarbspool-Instance-Id: " + id + "\r\n", "");
        }
        Run run;
        synchronized (this) {
            if (sharded && !holds(key)) return Http.response(421, notRun, "");
            if (running.size() >= slots && waiting >= QUEUE) return Http.response(503, notRun, "");
            waiting++;
            boolean hasWaited = running.size() >= slots;
            try {
                while (running.size() >= slots) wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            waiting--;
            if (hasWaited && Http.isClosed(socket)) throw new EOFException("the caller has gone");
            if (sharded && !holds(key)) return Http.response(421, notRun, "");
            run = new Run(request, key, Record.now());
            running.add(run);
        }
        record.write("%s: runs %s key %d", id, request, key);
        onRun(request, key);
        try {
            Thread.sleep(work(call));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            running.remove(run);
            notifyAll();
        }
        record.write("%s: ends %s", id, request);
        return Http.response(200, echo + "Rhubarbspool-Server-Signature: " + id + "." + request + "\r\n",
            id + " ran " + request);
    }

    /** Milliseconds of work for a request. */
    protected long work(Http.Message call) {
        return workMilliseconds;
    }
}
