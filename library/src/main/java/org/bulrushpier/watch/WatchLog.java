package org.bulrushpier.watch;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.Moment;

/**
 * The latest results of a reader's own watch of one kind of objects, from which it answers other
 * instances that know an earlier revision.
 *
 * <pre>{@code
 * log.begin(7, sent, now, 2_500);
 * log.append(9, changes, body, sent, now, 2_750);
 * WatchLog.Answer answer = log.after(7);
 * }</pre>
 *
 * <p>Invariants: a receiver that applies the answer for a revision to the state at that revision
 * has the state at the newest revision, or at its own if that is newer; the revision never
 * decreases within a log; the log keeps at most {@value #MAX_RESULTS} results with changes and
 * {@value #MAX_BYTES} bytes.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class WatchLog {

  static final int MAX_RESULTS = 64;

  static final int MAX_BYTES = 256 * 1_024;

  /**
   * The time after the expected end of a watch from which on its result is overdue, in
   * milliseconds. It includes a second call on a new connection.
   */
  static final long OVERDUE_MILLIS = 400;

  /**
   * How long a watch may fail before receivers must not rely on its last result, in milliseconds.
   * It covers a moment in which the store closes all connections.
   */
  static final long FAILING_MILLIS = 500;

  /**
   * A change of an object. Immutable by convention: the bytes must not be changed.
   *
   * @param name the name of the object, or empty if it cannot be read
   * @param revision the revision of its last change, or 0 if it cannot be read
   * @param isRemoved whether the object was removed
   * @param json the change as the store returned it
   */
  public record Change(String name, long revision, boolean isRemoved, ByteBuffer json) {}

  /** What a receiver at a revision lacks. Implementations are immutable by convention. */
  public sealed interface Answer {

    /** The log has not begun, or does not reach back to the revision. */
    record Gone() implements Answer {}

    /** Nothing is newer. */
    record Nothing() implements Answer {}

    /**
     * Exactly the latest result of the watch.
     *
     * @param body the result as the store returned it
     */
    record Whole(byte[] body) implements Answer {}

    /**
     * Changes out of several results or of a part of one.
     *
     * @param changes the changes in order, possibly none
     * @param revision the revision from which the receiver continues
     */
    record Selected(List<Change> changes, long revision) implements Answer {}
  }

  /** A result with changes, which are those after one revision up to another. */
  private record Result(long after, long revision, List<Change> changes, byte[] body) {}

  private static final long NONE = -1;

  private final ArrayDeque<Result> results = new ArrayDeque<>();
  private long bytes;
  private long oldest = NONE;
  private long newest = NONE;
  private Moment provenAt = Moment.DISTANT_PAST;
  private Moment receivedAt = Moment.DISTANT_PAST;
  private long nextWithinMillis;
  private Moment failingSince;

  /**
   * Begins the log anew.
   *
   * @param revision the revision of the known state
   * @param proven a moment at which that state was certainly the newest
   * @param now the current moment
   * @param nextMillis the time within which the next result is expected, in milliseconds
   */
  public void begin(long revision, Moment proven, Moment now, long nextMillis) {
    end();
    oldest = revision;
    newest = revision;
    proven(proven, now, nextMillis);
  }

  /** Drops everything, as this instance does not read the kind from the store. */
  public void end() {
    results.clear();
    bytes = 0;
    oldest = NONE;
    newest = NONE;
    provenAt = Moment.DISTANT_PAST;
    failingSince = null;
  }

  /** Returns whether the log has begun. */
  public boolean isOpen() {
    return oldest != NONE;
  }

  /**
   * Appends a result of the watch that was made from the newest revision.
   *
   * @param revision the revision from which the watch continues
   * @param changes the changes in order, possibly none
   * @param body the result as the store returned it
   * @param proven a moment at which the state after the changes was certainly the newest
   * @param now the current moment
   * @param nextMillis the time within which the next result is expected, in milliseconds
   */
  public void append(
      long revision,
      List<Change> changes,
      byte[] body,
      Moment proven,
      Moment now,
      long nextMillis) {
    long continued = Math.max(newest, revision);
    if (!changes.isEmpty()) {
      results.addLast(new Result(newest, continued, List.copyOf(changes), body));
      bytes += body.length;
    }
    newest = continued;
    while (results.size() > MAX_RESULTS || bytes > MAX_BYTES) {
      Result removed = results.removeFirst();
      bytes -= removed.body.length;
      oldest = removed.revision;
    }
    proven(proven, now, nextMillis);
  }

  private void proven(Moment proven, Moment now, long nextMillis) {
    provenAt = proven;
    receivedAt = now;
    nextWithinMillis = nextMillis;
    failingSince = null;
  }

  /**
   * Records that the last call of the watch has failed.
   *
   * @param now the current moment
   */
  public void failed(Moment now) {
    if (failingSince == null) {
      failingSince = now;
    }
  }

  /**
   * Checks whether the watch works and its next result is not overdue. A suspension of this process
   * counts, as results of before are old then.
   *
   * @param now the current moment
   * @return false if receivers must not rely on this log
   */
  public boolean isCurrent(Moment now) {
    return isOpen()
        && (failingSince == null || failingSince.ageMillis(now) <= FAILING_MILLIS)
        && receivedAt.ageMillis(now) <= nextWithinMillis + OVERDUE_MILLIS;
  }

  /** Returns the bytes that the log keeps. */
  public long bytes() {
    return bytes;
  }

  /** Returns the newest revision. */
  public long revision() {
    return newest;
  }

  /**
   * Returns what a receiver lacks.
   *
   * @param revision the revision of the state that the receiver has
   * @return the changes after it
   */
  public Answer after(long revision) {
    if (!isOpen() || revision < oldest) {
      return new Answer.Gone();
    }
    if (revision >= newest) {
      return new Answer.Nothing();
    }
    List<Result> later = results.stream().filter(result -> result.revision > revision).toList();
    if (later.isEmpty()) {
      return new Answer.Selected(List.of(), newest);
    }
    Result first = later.getFirst();
    if (first.after < revision) {
      return new Answer.Selected(lastChanges(later, revision), newest);
    }
    if (first.revision == newest) {
      return new Answer.Whole(first.body);
    }
    return new Answer.Selected(
        later.stream().flatMap(result -> result.changes.stream()).toList(), newest);
  }

  /**
   * Returns the last change of each object, without puts that the receiver knows. Removals are
   * kept, as their revisions may be those of the removed objects.
   */
  private static List<Change> lastChanges(List<Result> later, long revision) {
    Map<String, Change> last = new LinkedHashMap<>();
    List<Change> selected = new ArrayList<>();
    for (Result result : later) {
      for (Change change : result.changes) {
        if (change.name.isEmpty()) {
          selected.add(change);
        } else {
          last.remove(change.name);
          last.put(change.name, change);
        }
      }
    }
    for (Change change : last.values()) {
      if (change.isRemoved || change.revision == 0 || change.revision > revision) {
        selected.add(change);
      }
    }
    return List.copyOf(selected);
  }

  /**
   * Returns the proof of an answer, as told to its receiver.
   *
   * @param received when the receiver's call arrived
   * @param now the current moment
   * @return the moment of the proof after the arrival of the call, in milliseconds: a lower bound,
   *     usually negative
   */
  public long proofOffsetMillis(Moment received, Moment now) {
    return received.minAgeMillis(now) - provenAt.ageMillis(now);
  }

  /**
   * Returns the moment of a proof at its receiver.
   *
   * @param sent when the receiver sent its call
   * @param offsetMillis the told moment of the proof after the arrival of the call, in milliseconds
   * @param now the current moment, at which the answer has been received
   * @return a moment at which the state was certainly the newest, not after the current one
   */
  public static Moment provenAt(Moment sent, long offsetMillis, Moment now) {
    long sinceSent = now.monotonicMillis() - sent.monotonicMillis();
    return sent.plusMillis(Math.min(offsetMillis, sinceSent));
  }
}
