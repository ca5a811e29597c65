import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, one line each, with milliseconds since the start. */
final class RunRecord {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    RunRecord(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.printf("%8.1f  %s%n", (System.nanoTime() - startNs) / 1e6, text);
    }

    /** A line for the record and for the console. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
