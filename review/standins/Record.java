package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter writer;

    /** Longest time that a case may take. */
    private static final long LIMIT = 118_000;

    Record(Path file) throws IOException {
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            System.exit(2);
        });
        Http.daemon(() -> {
            Thread.sleep(LIMIT);
            System.out.println("the case took too long");
            System.exit(2);
        });
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void write(String format, Object... values) {
        writer.println(String.format("%8.3f  ", now() / 1000.0) + String.format(format, values));
        writer.flush();
    }
}
