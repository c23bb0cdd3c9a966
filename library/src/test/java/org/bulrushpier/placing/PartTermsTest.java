package org.bulrushpier.placing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushpier.Moment;
import org.junit.jupiter.api.Test;

/** Guards against fetches of cache parts that another instance has freed meanwhile. */
class PartTermsTest {

  private static final String MODEL = "m0";
  private static final long START_MILLIS = 1_000_000;

  /** The replicas' clock minus true time, in milliseconds. */
  private static final long CLOCK_OFFSET_MILLIS = 77_000;

  private final ReplicaClock clock = new ReplicaClock();
  private final PartTerms terms = PartTerms.of(clock);

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private void sample(long millis) {
    clock.sample(millis + CLOCK_OFFSET_MILLIS, millis);
  }

  @Test
  void nothingIsFetchedWithoutProof() {
    sample(START_MILLIS);

    assertThat(terms.fetchUntil(MODEL, 1, START_MILLIS)).isEmpty();
  }

  @Test
  void proofThatPrecedesTheReplicasClockCountsOnceTheClockIsKnown() {
    terms.requested(MODEL, 1, START_MILLIS);
    terms.confirmed(at(START_MILLIS), at(START_MILLIS));
    assertThat(terms.fetchUntil(MODEL, 1, START_MILLIS)).isEmpty();

    sample(START_MILLIS + 100);
    terms.convert(at(START_MILLIS + 100));

    assertThat(terms.fetchUntil(MODEL, 1, START_MILLIS + 100))
        .hasValue(START_MILLIS + CLOCK_OFFSET_MILLIS + PartTerms.TERM_MILLIS);
  }

  @Test
  void newerVersionEndsTheTermThatTheLastProofBeforeItBegan() {
    sample(START_MILLIS);
    terms.requested(MODEL, 1, START_MILLIS);
    terms.confirmed(at(START_MILLIS), at(START_MILLIS));
    terms.requested(MODEL, 2, START_MILLIS + 2_000);
    terms.confirmed(at(START_MILLIS + 2_000), at(START_MILLIS + 2_000));

    assertThat(terms.fetchUntil(MODEL, 1, START_MILLIS + 2_000))
        .hasValue(START_MILLIS + CLOCK_OFFSET_MILLIS + PartTerms.TERM_MILLIS);
    assertThat(terms.fetchUntil(MODEL, 2, START_MILLIS + 2_000))
        .hasValue(START_MILLIS + 2_000 + CLOCK_OFFSET_MILLIS + PartTerms.TERM_MILLIS);
  }

  @Test
  void versionThatIsFoundAfterTheStartLeavesOlderPartsUnused() {
    sample(START_MILLIS);
    terms.requested(MODEL, 2, START_MILLIS);
    terms.confirmed(at(START_MILLIS), at(START_MILLIS));

    assertThat(terms.fetchUntil(MODEL, 1, START_MILLIS)).isEmpty();
    assertThat(terms.fetchUntil(MODEL, 2, START_MILLIS)).isPresent();
  }

  @Test
  void partsOfEachVersionAreKeptForItsOwnTerm() {
    terms.requested(MODEL, 1, START_MILLIS);
    terms.requested(MODEL, 2, START_MILLIS + 20_000);
    terms.requested(MODEL, 3, START_MILLIS + 25_000);
    long after = PartTerms.TERM_MILLIS + 1_000;

    assertThat(terms.oldestKept(MODEL, 0, START_MILLIS + 20_000 + after)).isEqualTo(2);
    assertThat(terms.oldestKept(MODEL, 0, START_MILLIS + 25_000 + after)).isEqualTo(3);
  }

  /** An instance with its own clocks; whatever it does not see of the others does not matter. */
  private static final class Instance {
    private final ReplicaClock clock = new ReplicaClock();
    private final PartTerms terms = PartTerms.of(clock);
    private final Random random;
    private long monotonicLagMillis;
    private long wallOffsetMillis;
    private long cutUntilMillis;
    private int known;

    Instance(Random random) {
      this.random = random;
    }

    private Moment moment(long trueMillis) {
      return new Moment(trueMillis - monotonicLagMillis, trueMillis + wallOffsetMillis);
    }

    private long monotonic(long trueMillis) {
      return trueMillis - monotonicLagMillis;
    }

    /** Lives through some milliseconds; watches prove the state as of their sending. */
    void pass(long trueMillis, int version) {
      if (random.nextInt(400) == 0) {
        cutUntilMillis = trueMillis + random.nextInt(30_000);
      }
      if (random.nextInt(400) == 0) {
        monotonicLagMillis += random.nextInt(6_000);
      }
      if (random.nextInt(400) == 0) {
        wallOffsetMillis += random.nextInt(5_000);
      }
      if (random.nextInt(4) == 0) {
        clock.sample(trueMillis + CLOCK_OFFSET_MILLIS - random.nextInt(50), monotonic(trueMillis));
      }
      if (trueMillis >= cutUntilMillis && random.nextInt(10) == 0) {
        known = version;
        Moment now = moment(trueMillis);
        terms.requested(MODEL, known, now.monotonicMillis());
        terms.confirmed(now.plusMillis(-random.nextInt(3_000)), now);
      }
      terms.convert(moment(trueMillis));
    }
  }

  /** Cuts, suspended instances, steps of the wall clock and versions in series. */
  @Property(tries = 200)
  void noFetchEndsAfterPartsWereFreed(@ForAll long seed) {
    Random random = new Random(seed);
    Instance sender = new Instance(random);
    Instance freeing = new Instance(random);
    int version = 1;
    long lastFetchOfFreed = Long.MIN_VALUE;
    long[] fetchEnds = new long[100];
    int freedBelow = 0;
    for (long now = START_MILLIS; now < START_MILLIS + 90_000; now += 50) {
      if (random.nextInt(200) == 0) {
        version++;
      }
      sender.pass(now, version);
      freeing.pass(now, version);
      int served = Math.max(1, version - random.nextInt(3));
      OptionalLong until = sender.terms.fetchUntil(MODEL, served, sender.monotonic(now));
      if (until.isPresent()) {
        long end = until.getAsLong() - CLOCK_OFFSET_MILLIS;
        fetchEnds[served] = Math.max(fetchEnds[served], end);
        if (served < freedBelow) {
          lastFetchOfFreed = Math.max(lastFetchOfFreed, end);
        }
      }
      int oldest = freeing.terms.oldestKept(MODEL, 0, freeing.monotonic(now));
      for (int freed = freedBelow; freed < oldest; freed++) {
        assertThat(fetchEnds[freed]).as("fetch of version %d", freed).isLessThan(now);
      }
      freedBelow = Math.max(freedBelow, oldest);
      assertThat(lastFetchOfFreed).isLessThan(now);
    }
  }
}
