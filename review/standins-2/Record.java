import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** What was sent, answered and run, one line each, with the time since the start. */
final class Record {
    private final PrintWriter mWriter;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        mWriter.printf("%8.3f s  %s%n", seconds, String.format(format, values));
        mWriter.flush();
    }

    synchronized void result(String text) {
        mWriter.println(text);
        mWriter.flush();
        System.out.println(text);
    }
}
