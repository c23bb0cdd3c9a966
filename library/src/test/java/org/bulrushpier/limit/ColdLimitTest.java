package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.bulrushpier.fleet.Place;
import org.junit.jupiter.api.Test;

class ColdLimitTest {

  /** Instances that remember the same ones, each with beliefs of its own about who is live. */
  @Property
  void sharesNeverExceedMostSeatsWhateverInstancesBelieveAboutEachOther(
      @ForAll @DoubleRange(min = 0.1, max = 200) double perSecond,
      @ForAll @DoubleRange(min = 1, max = 3) double overage,
      @ForAll @IntRange(max = 20) int slack,
      @ForAll @IntRange(min = 1, max = 200) int members,
      @ForAll long seed) {
    ColdLimit limit = new ColdLimit(perSecond, overage, slack);
    Random random = new Random(seed);
    long total = 0;
    for (int rank = 0; rank < members; rank++) {
      int live = 1 + random.nextInt(members);
      int liveRank = random.nextInt(Math.min(rank + 1, live));
      total += limit.share(new Place(rank, members, liveRank, live, false));
    }
    assertThat(total).isLessThanOrEqualTo(limit.most());
    assertThat(limit.most()).isLessThanOrEqualTo(limit.bound());
    assertThat(limit.bound()).isLessThanOrEqualTo((int) (perSecond * overage + slack));
  }

  @Property
  void instancesThatAgreeUseAllSeatsOfTheRate(
      @ForAll @DoubleRange(min = 1, max = 200) double perSecond,
      @ForAll @IntRange(min = 1, max = 200) int members) {
    ColdLimit limit = new ColdLimit(perSecond, 1.5, 5);
    long total = 0;
    for (int rank = 0; rank < members; rank++) {
      total += limit.share(new Place(rank, members, rank, members, false));
    }
    assertThat(total).isEqualTo((int) perSecond);
  }

  @Test
  void nextLiveInstanceTakesSeatOfDeadOne() {
    ColdLimit limit = new ColdLimit(8.4, 1.5, 5);

    assertThat(limit.share(new Place(8, 26, 8, 26, false))).isZero();
    assertThat(limit.share(new Place(8, 26, 7, 25, false))).isEqualTo(1);
    assertThat(limit.share(new Place(12, 26, 0, 1, false))).isZero();
  }

  @Test
  void serviceWithoutRateHasNoLimit() {
    assertThat(ColdLimit.NONE.isLimiting()).isFalse();
  }
}
