import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, each with the time since the start. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  Record(Path file) {
    try {
      writer = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start in milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    writer.println(String.format(Locale.ROOT, "%8.3f s  %s", millis() / 1000.0, text));
  }
}
