package org.bulrushpier.survival;

/**
 * When a replica was last asked whether it is alive, and when it last answered.
 *
 * <p>A question may have to be put several times, as the connections that carried it broke. One
 * that could not be put at all proves nothing.
 *
 * <p>Not thread-safe; guarded by the lock of the gateway's event loop.
 */
public final class Inquiry {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long askedMillis = NEVER;
  private long putMillis = NEVER;
  private long answeredMillis = NEVER;
  private boolean isWithdrawn;

  /**
   * Records that the replica was asked.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void asked(long nowMillis) {
    askedMillis = nowMillis;
    putMillis = nowMillis;
    isWithdrawn = false;
  }

  /**
   * Records that the last question is put once more, as its connection broke.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void askedAgain(long nowMillis) {
    putMillis = nowMillis;
  }

  /** Records that the last question could not be put, for a reason on this side. */
  public void withdrawn() {
    isWithdrawn = true;
  }

  /**
   * Records that the replica has answered.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   */
  public void answered(long nowMillis) {
    answeredMillis = nowMillis;
  }

  /**
   * Checks whether the replica may be asked again.
   *
   * @param intervalMillis the shortest interval between two questions, in milliseconds
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if the last question is at least that long ago
   */
  public boolean isDue(long intervalMillis, long nowMillis) {
    return nowMillis - askedMillis >= intervalMillis;
  }

  /** Returns the monotonic time at which the replica was last asked, in milliseconds. */
  long askedMillis() {
    return askedMillis;
  }

  /** Returns the monotonic time at which the replica last answered, in milliseconds. */
  long answeredMillis() {
    return answeredMillis;
  }

  /** Returns the monotonic time at which the last question was last put, in milliseconds. */
  long putMillis() {
    return putMillis;
  }

  /** Returns whether the last question was put and has not been answered. */
  boolean isOpen() {
    return answeredMillis < askedMillis && !isWithdrawn;
  }
}
