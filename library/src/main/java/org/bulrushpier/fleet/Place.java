package org.bulrushpier.fleet;

/**
 * The place of an instance among those of its site, in an order that differs by key.
 *
 * <p>Instances that remember the same ones have different ranks. Immutable and thread-safe.
 *
 * @param rank the number of remembered instances, live or not, that come before it
 * @param members the number of remembered instances, this one included
 * @param liveRank the number of live instances that come before it
 * @param liveMembers the number of live instances, this one included
 * @param isYoung whether instances may be missing that were not heard from since it started
 */
public record Place(int rank, int members, int liveRank, int liveMembers, boolean isYoung) {

  /** The place of an instance that is the only one of its site. */
  public static final Place ALONE = new Place(0, 1, 0, 1, false);

  /**
   * Returns this instance's part of a number that is dealt out to the live instances in turn.
   *
   * @param number the number, at least 0
   * @return the part, at least 0
   */
  public int liveShare(int number) {
    return share(number, liveRank, liveMembers);
  }

  /**
   * Returns this instance's part of a number that is dealt out to the remembered instances in turn.
   *
   * @param number the number, at least 0
   * @return the part, at least 0
   */
  public int rememberedShare(int number) {
    return share(number, rank, members);
  }

  private static int share(int number, int rank, int members) {
    return Math.max(0, (number - rank + members - 1) / members);
  }
}
