package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows in tables with conditional transactions, reads and feeds of changes. */
final class Store {
    private static final class Row {
        String value;
        long version;
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version;
    private final ServerSocket server;

    /** Address of the store. */
    final String address;

    Store(String host, int port) throws IOException {
        server = Http.listen(host, port, socket -> {
            OutputStream output = socket.getOutputStream();
            for (Http.Message call = Http.read(socket.getInputStream()); call != null;
                 call = Http.read(socket.getInputStream())) {
                output.write(answer(call));
                output.flush();
            }
        });
        address = host + ":" + server.getLocalPort();
    }

    /** Writes a row, as the operator or an endpoint does; null removes it. */
    synchronized void put(String table, String key, String text) {
        String value = text == null ? null : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        write(table, key, value, ++version);
        notifyAll();
    }

    /** Text of a row; null if there is none. */
    synchronized String text(String table, String key) {
        Row row = table(table).get(key);
        return row == null || row.value == null ? null
            : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private byte[] answer(Http.Message call) {
        String target = call.start[1];
        String path = target.replaceAll("\\?.*", "");
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], java.net.URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        switch (path) {
            case "/api/rows-tx": return transaction(Json.object(call.text()));
            case "/api/rows-get": return read(query);
            case "/api/rows-feed": return feed(query);
            default: return json(404, "{}");
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized byte[] transaction(Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("precondition", List.of());
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object entry : conditions) {
            Map<String, Object> condition = (Map<String, Object>) entry;
            String table = (String) condition.get("table");
            String key = (String) condition.get("key");
            Row row = table(table).get(key);
            long found = row == null || row.value == null ? 0 : row.version;
            if (found != 0) current.add(format(table, key, row));
            holds &= found == (Long) condition.get("ver");
        }
        if (!holds) return json(412, page(current));
        long next = ++version;
        for (Object entry : (List<Object>) body.getOrDefault("set_keys", List.of())) {
            Map<String, Object> change = (Map<String, Object>) entry;
            write((String) change.get("table"), (String) change.get("key"), (String) change.get("value"), next);
        }
        for (Object entry : (List<Object>) body.getOrDefault("remove", List.of())) {
            Map<String, Object> change = (Map<String, Object>) entry;
            write((String) change.get("table"), (String) change.get("key"), null, next);
        }
        notifyAll();
        return json(200, "{\"ver\":" + next + ",\"now\":\"" + Record.now() + "ms\"}");
    }

    private synchronized byte[] read(Map<String, String> query) {
        String table = query.get("table");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<String> rows = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Row> entry : table(table).tailMap(query.getOrDefault("from", ""), true).entrySet()) {
            if (entry.getValue().value == null) continue;
            truncated = rows.size() == limit;
            if (truncated) break;
            rows.add(format(table, entry.getKey(), entry.getValue()));
        }
        return json(200, page(rows).replaceFirst("\\{", "{\"truncated\":" + truncated + ","));
    }

    private synchronized byte[] feed(Map<String, String> query) {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = Record.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            TreeMap<Long, String> changed = new TreeMap<>();
            table(table).forEach((key, row) -> {
                if (row.version > after) changed.put(row.version, format(table, key, row));
            });
            long left = end - Record.now();
            if (!changed.isEmpty() || left <= 0) return json(200, page(new ArrayList<>(changed.values())));
            try {
                wait(left);
            } catch (InterruptedException interrupted) {
                return json(503, "{}");
            }
        }
    }

    private void write(String table, String key, String value, long at) {
        Row row = table(table).computeIfAbsent(key, ignored -> new Row());
        row.value = value;
        row.version = at;
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, ignored -> new TreeMap<>());
    }

    private String page(List<String> rows) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"ver\":" + version + ",\"now\":\"" + Record.now() + "ms\"}";
    }

    private static String format(String table, String key, Row row) {
        String content = row.value == null ? "\"deleted\":true" : "\"value\":\"" + row.value + "\"";
        return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + "," + content
            + ",\"ver\":" + row.version + "}";
    }

    private static byte[] json(int status, String body) {
        return Http.response(status, "Content-Type: application/json\r\n", body);
    }
}
