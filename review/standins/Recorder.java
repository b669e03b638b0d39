import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Recorder implements AutoCloseable {

    private static final long START = System.nanoTime();
    private final PrintWriter mOut;

    Recorder(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        mOut.printf(Locale.ROOT, "%8.3f  %s%n", now(), String.format(Locale.ROOT, format, values));
        mOut.flush();
    }

    /** Also shown to the person who runs the script. */
    void tell(String format, Object... values) {
        line(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
