import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Runs a case: {@code Case NAME FOLDER TROUBLE}. Exits with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run. If TROUBLE is 0, the disruption is left out.
 */
public abstract class Case {
  Record record;
  Path scratch;
  boolean isTrouble;

  /** Plays the case and returns whether the rule held. */
  abstract boolean play() throws Exception;

  public static void main(String[] arguments) throws Exception {
    Case played = (Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
    played.record = new Record(Path.of(arguments[1], "record.txt"));
    played.isTrouble = !"0".equals(arguments[2]);
    played.scratch = Files.createTempDirectory("review");
    int status = 2;
    try {
      played.record.add("%s, trouble: %b", arguments[0], played.isTrouble);
      boolean isHeld = played.play();
      played.record.add("the rule %s", isHeld ? "held" : "was broken");
      status = isHeld ? 0 : 1;
    } catch (Throwable e) {
      played.record.add("the case could not run: %s", e);
      e.printStackTrace();
    } finally {
      delete(played.scratch);
    }
    Runtime.getRuntime().exit(status);
  }

  private static void delete(Path folder) throws Exception {
    if (System.getenv("KEEP") != null) {
      System.err.println("kept: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
