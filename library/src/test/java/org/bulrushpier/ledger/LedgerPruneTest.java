package org.bulrushpier.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bulrushpier.FakeObjectApi;
import org.junit.jupiter.api.Test;

/**
 * Guards against a keyed call that is executed twice because pruning deleted its claim: {@code
 * prune} must not delete a sealed object with young claims whose results are in later objects, as a
 * shard that is loaded afterwards would accept a second claim of a finished key.
 */
class LedgerPruneTest {

  /** Enough claims to seal at least one object before the first result is written. */
  private static final int CLAIM_COUNT = 2_000;

  private static final int REPEATED_CLAIM_INDEX = 5;
  private static final long NOW_MILLIS = 1_000_000;

  private final FakeObjectApi api = new FakeObjectApi();
  private long nowMillis = NOW_MILLIS;

  private LedgerShard newShard() {
    return LedgerShard.of(0, api, () -> nowMillis, LedgerShard.DEFAULT_RETENTION_MILLIS);
  }

  private LedgerRecord.Claim claim(int index, String id) {
    return new LedgerRecord.Claim("key-number-" + index, id, "r", nowMillis);
  }

  private static LedgerRecord.Result result(int index, String id) {
    return new LedgerRecord.Result(
        "key-number-" + index, id, new Outcome(200, "text/plain", new byte[] {1}));
  }

  @Test
  void pruneKeepsClaimsWhoseResultsAreInLaterObjects() {
    LedgerShard shard = newShard();
    for (int i = 0; i < CLAIM_COUNT; i++) {
      shard.commit(List.of(claim(i, "attempt-" + i)));
    }
    for (int i = 0; i < CLAIM_COUNT; i++) {
      shard.commit(List.of(result(i, "attempt-" + i)));
    }
    shard.prune();
    LedgerAnswer answer =
        newShard().commit(List.of(claim(REPEATED_CLAIM_INDEX, "attempt-other"))).get(0);
    assertThat(answer).isInstanceOf(LedgerAnswer.Repeated.class);
  }

  /** A deleted release would bring back the claim that it released, as one without a result. */
  @Test
  void pruneKeepsReleasesOfClaimsInKeptObjects() {
    LedgerShard shard = newShard();
    for (int i = 0; i < CLAIM_COUNT; i++) {
      shard.commit(List.of(claim(i, "attempt-" + i)));
    }
    for (int i = 0; i < CLAIM_COUNT; i++) {
      shard.commit(List.of(new LedgerRecord.Release("key-number-" + i, "attempt-" + i)));
    }
    shard.prune();
    LedgerAnswer answer =
        newShard().commit(List.of(claim(REPEATED_CLAIM_INDEX, "attempt-other"))).get(0);
    assertThat(answer).isInstanceOf(LedgerAnswer.Accepted.class);
  }

  @Test
  void pruneDeletesObjectsWithExpiredClaims() {
    LedgerShard shard = newShard();
    for (int i = 0; i < CLAIM_COUNT; i++) {
      shard.commit(List.of(claim(i, "attempt-" + i)));
    }
    nowMillis += LedgerShard.DEFAULT_RETENTION_MILLIS + 1;
    assertThat(shard.prune()).isPositive();
    assertThat(shard.size()).isZero();
  }

  /** An expired claim that is still in the log must not hide the claim that replaced it. */
  @Test
  void claimThatReplacedAnExpiredClaimIsFoundByAnotherShard() {
    LedgerShard shard = newShard();
    shard.commit(List.of(claim(0, "attempt-old")));
    shard.commit(List.of(result(0, "attempt-old")));
    nowMillis += LedgerShard.DEFAULT_RETENTION_MILLIS + 1;
    shard.prune();
    shard.commit(List.of(claim(0, "attempt-new")));
    LedgerShard other = newShard();
    other.prune();
    assertThat(other.commit(List.of(claim(0, "attempt-third"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
  }
}
