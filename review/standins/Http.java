package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over blocking sockets. */
final class Http {
    private Http() {
    }

    /** A request or response; the names of headers are in lower case. */
    static final class Message {
        /** The three parts of the first line. */
        final String[] start;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        Message(String startLine) {
            start = startLine.split(" ", 3);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Serves one connection. */
    interface Connection {
        void serve(Socket socket) throws IOException;
    }

    /** Reads a whole message; null if the connection ends before one starts. Fails if it ends within one. */
    static Message read(InputStream input) throws IOException {
        String line = line(input);
        if (line == null) return null;
        Message message = new Message(line);
        for (String header = line(input); ; header = line(input)) {
            if (header == null) throw new EOFException("within the head");
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        if (length != null) {
            message.body = exactly(input, Integer.parseInt(length));
        } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
                body.write(exactly(input, size));
                line(input);
            }
            line(input);
            message.body = body.toByteArray();
        }
        return message;
    }

    /** Formats a response. */
    static byte[] response(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + bytes.length + "\r\n" + headers + "\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    /** Whether the other side has closed a connection on which it has sent nothing more. */
    static boolean isClosed(Socket socket) throws IOException {
        int timeout = socket.getSoTimeout();
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException open) {
            return false;
        } catch (IOException reset) {
            return true;
        } finally {
            if (!socket.isClosed()) socket.setSoTimeout(timeout);
        }
    }

    /** Accepts connections on an address and serves each one in a thread. */
    static ServerSocket listen(String host, int port, Connection connection) throws IOException {
        ServerSocket server = new ServerSocket(port, 512, InetAddress.getByName(host));
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> {
                    try (socket) {
                        connection.serve(socket);
                    }
                });
            }
        });
        return server;
    }

    /** Work that may fail. */
    interface Work {
        void run() throws Exception;
    }

    /** Runs work in a background thread; a failed connection ends it. */
    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException ended) {
                // The other side has gone or the case is over.
            } catch (Exception unexpected) {
                unexpected.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static int chunkSize(InputStream input) throws IOException {
        String line = line(input);
        if (line == null) throw new EOFException("within a chunked body");
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("within the body");
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); ; next = input.read()) {
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
