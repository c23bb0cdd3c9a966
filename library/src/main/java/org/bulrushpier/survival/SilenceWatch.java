package org.bulrushpier.survival;

/**
 * Decides when a replica whose stream is silent is taken to be gone, so that the run goes on at the
 * holder of its copy.
 *
 * <p>A sound replica may fall silent for a second and go on, and a stream may pause while its
 * replica works on others. Silence alone proves nothing: both the replica and the holder are asked,
 * and the replica is gone if only the holder answers. If neither does, or if the question could not
 * be put, the fault may lie with this instance.
 *
 * <p>Immutable and thread-safe.
 */
public final class SilenceWatch {

  /** The pause that callers of a route expect if it does not name one, in milliseconds. */
  private static final long DEFAULT_GAP_MILLIS = 800;

  /** The share of the expected pause after which replicas are asked. */
  private static final double ASK_SHARE = 0.5;

  /** The time for an answer, in milliseconds: tens of round trips. */
  public static final long ANSWER_MILLIS = 200;

  /** The shortest interval between two questions to one replica, in milliseconds. */
  public static final long REPEAT_MILLIS = 400;

  private final long askMillis;

  private SilenceWatch(long askMillis) {
    this.askMillis = askMillis;
  }

  /**
   * Creates the watch of a route's streams.
   *
   * @param gapMillis the longest pause between events that callers expect, in milliseconds, or 0
   * @return the watch
   */
  public static SilenceWatch of(long gapMillis) {
    return new SilenceWatch((long) (ASK_SHARE * (gapMillis > 0 ? gapMillis : DEFAULT_GAP_MILLIS)));
  }

  /** What is to be done about a silent stream. Immutable and thread-safe. */
  public enum Verdict {
    /** Nothing yet. */
    WAIT,
    /** The replica and the holder are to be asked, unless they have been recently. */
    ASK,
    /** The replica is gone. */
    GONE
  }

  /**
   * Checks whether a replica has been silent for long enough to be judged.
   *
   * @param lastHeardMillis the monotonic time at which it last sent anything, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if replicas may have to be asked
   */
  public boolean isSuspicious(long lastHeardMillis, long nowMillis) {
    return nowMillis - lastHeardMillis >= askMillis;
  }

  /**
   * Judges a silent replica.
   *
   * @param lastHeardMillis the monotonic time at which it last sent anything, in milliseconds
   * @param run what the replica that runs the stream was asked
   * @param holder what the holder of the copy was asked
   * @param nowMillis the current monotonic time, in milliseconds
   * @return what is to be done
   */
  public Verdict judge(long lastHeardMillis, Inquiry run, Inquiry holder, long nowMillis) {
    if (!isSuspicious(lastHeardMillis, nowMillis)) {
      return Verdict.WAIT;
    }
    if (!run.isOpen() || run.askedMillis() < lastHeardMillis) {
      return run.isDue(REPEAT_MILLIS, nowMillis) ? Verdict.ASK : Verdict.WAIT;
    }
    if (holder.answeredMillis() < run.askedMillis()) {
      return holder.isDue(REPEAT_MILLIS, nowMillis) ? Verdict.ASK : Verdict.WAIT;
    }
    return nowMillis - run.putMillis() >= ANSWER_MILLIS ? Verdict.GONE : Verdict.WAIT;
  }
}
