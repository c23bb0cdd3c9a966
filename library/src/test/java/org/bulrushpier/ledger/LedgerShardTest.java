package org.bulrushpier.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.FakeObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.junit.jupiter.api.Test;

class LedgerShardTest {

  private static final long NOW = 1_000_000;

  private final FakeObjectApi api = new FakeObjectApi();
  private long now = NOW;

  private LedgerShard shard() {
    return LedgerShard.of(0, api, () -> now, LedgerShard.DEFAULT_RETENTION_MILLIS);
  }

  private LedgerRecord.Claim claim(String key, String id) {
    return new LedgerRecord.Claim(key, id, "request", now);
  }

  private static LedgerRecord.Result result(String key, String id, int status) {
    return new LedgerRecord.Result(key, id, new Outcome(status, "text/plain", new byte[] {1}));
  }

  @Test
  void secondClaimIsPendingAndThenRepeatsTheFirstOutcome() {
    LedgerShard first = shard();
    LedgerShard second = shard();
    assertThat(first.commit(List.of(claim("k", "a"))).get(0))
        .isInstanceOf(LedgerAnswer.Accepted.class);
    assertThat(second.commit(List.of(claim("k", "b"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
    first.commit(List.of(result("k", "a", 201)));
    LedgerAnswer repeated = second.commit(List.of(claim("k", "b"))).get(0);
    assertThat(((LedgerAnswer.Repeated) repeated).outcome().status()).isEqualTo(201);
  }

  @Test
  void commitUsesSingleWriteForAllRecords() {
    shard().commit(List.of(claim("a", "1"), claim("b", "2"), claim("c", "3")));
    assertThat(api.writes()).isEqualTo(1);
  }

  @Test
  void firstOfTwoClaimsOfOneKeyInOneCommitIsAccepted() {
    List<LedgerAnswer> answers = shard().commit(List.of(claim("k", "a"), claim("k", "b")));
    assertThat(answers.get(0)).isInstanceOf(LedgerAnswer.Accepted.class);
    assertThat(answers.get(1)).isInstanceOf(LedgerAnswer.Pending.class);
  }

  @Test
  void keyReusedForAnotherRequestIsRejected() {
    shard().commit(List.of(claim("k", "a")));
    LedgerRecord other = new LedgerRecord.Claim("k", "b", "other request", NOW);
    assertThat(shard().commit(List.of(other)).get(0)).isInstanceOf(LedgerAnswer.KeyReused.class);
  }

  @Test
  void claimIsRecognisedAfterResponseOfItsWriteWasLost() {
    LedgerShard shard = shard();
    api.nextWrite(FakeObjectApi.Fault.LOSE_RESPONSE);
    assertThatThrownBy(() -> shard.commit(List.of(claim("k", "a"))))
        .isInstanceOf(PlatformUnavailableException.class);
    assertThat(shard.commit(List.of(claim("k", "a"))).get(0))
        .isInstanceOf(LedgerAnswer.Accepted.class);
    assertThat(api.writes()).isEqualTo(1);
  }

  @Test
  void releaseInvalidatesClaimWhoseWriteIsDelayed() {
    LedgerShard shard = shard();
    api.nextWrite(FakeObjectApi.Fault.DELAY);
    assertThatThrownBy(() -> shard.commit(List.of(claim("k", "a"))))
        .isInstanceOf(PlatformUnavailableException.class);
    shard.commit(List.of(new LedgerRecord.Release("k", "a")));
    api.deliverDelayed();
    assertThat(shard().commit(List.of(claim("k", "b"))).get(0))
        .isInstanceOf(LedgerAnswer.Accepted.class);
  }

  @Test
  void staleWriterFailsVersionCheckAndReadsNewRecords() {
    LedgerShard stale = shard();
    stale.commit(List.of(claim("before", "p")));
    shard().commit(List.of(claim("k", "a")));
    assertThat(stale.commit(List.of(claim("k", "p"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
  }

  @Test
  void staleWriterReadsManySealedObjects() {
    LedgerShard stale = shard();
    stale.commit(List.of(claim("before", "p")));
    LedgerShard other = shard();
    for (int i = 0; i < 2_000; i++) {
      other.commit(List.of(claim("key-number-" + i, "attempt-number-" + i)));
    }
    assertThat(stale.commit(List.of(claim("key-number-5", "p"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
    assertThat(stale.size()).isEqualTo(2_001);
    assertThat(shard().commit(List.of(claim("before", "q"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
  }

  @Test
  void outcomeIsNeverReplaced() {
    LedgerShard shard = shard();
    shard.commit(List.of(claim("k", "a"), result("k", "a", 200), result("k", "a", 500)));
    LedgerAnswer answer = shard().commit(List.of(claim("k", "b"))).get(0);
    assertThat(((LedgerAnswer.Repeated) answer).outcome().status()).isEqualTo(200);
  }

  @Test
  void lostOutcomeIsReportedAndCannotBeReplaced() {
    LedgerShard shard = shard();
    shard.commit(List.of(claim("k", "a"), new LedgerRecord.Lost("k", "a")));
    assertThat(shard().commit(List.of(claim("k", "b"))).get(0))
        .isInstanceOf(LedgerAnswer.Lost.class);
    shard.commit(List.of(result("k", "a", 200), new LedgerRecord.Release("k", "a")));
    assertThat(shard().commit(List.of(claim("k", "b"))).get(0))
        .isInstanceOf(LedgerAnswer.Lost.class);
  }

  @Test
  void pruneDeletesOnlyObjectsOlderThanTheRetention() {
    LedgerShard shard = shard();
    for (int i = 0; i < 1_000; i++) {
      shard.commit(List.of(claim("old-key-number-" + i, "attempt-number-" + i)));
    }
    assertThat(shard.prune()).isZero();
    now += LedgerShard.DEFAULT_RETENTION_MILLIS + 1;
    shard.commit(List.of(claim("young", "y")));
    assertThat(shard.prune()).isPositive();
    assertThat(shard().commit(List.of(claim("young", "z"))).get(0))
        .isInstanceOf(LedgerAnswer.Pending.class);
  }

  /**
   * Several writers claim keys while writers crash and writes are refused, delayed or lose their
   * responses. No key may be granted to two attempts unless the first was released.
   */
  @Property(tries = 400)
  void noKeyIsGrantedTwice(@ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> steps) {
    FakeObjectApi platform = new FakeObjectApi();
    LedgerShard[] writers = new LedgerShard[3];
    Map<String, String> granted = new HashMap<>();
    List<LedgerRecord.Claim> unresolved = new ArrayList<>();
    int attempt = 0;
    for (int step : steps) {
      int writer = step % 3;
      if (writers[writer] == null) {
        writers[writer] = LedgerShard.of(0, platform, () -> NOW, 1_000_000);
      }
      String key = "key-" + step / 3 % 4;
      switch (step / 12 % 8) {
        case 0 -> platform.nextWrite(FakeObjectApi.Fault.LOSE_RESPONSE);
        case 1 -> platform.nextWrite(FakeObjectApi.Fault.DELAY);
        case 2 -> platform.nextWrite(FakeObjectApi.Fault.REFUSE);
        case 3 -> writers[writer] = null;
        case 4 -> platform.deliverDelayed();
        case 5 -> retry(writers[writer], unresolved, granted);
        default -> {
          LedgerRecord.Claim claim = new LedgerRecord.Claim(key, "attempt-" + attempt++, "r", NOW);
          grant(writers[writer], claim, unresolved, granted);
        }
      }
    }
  }

  private static void retry(
      LedgerShard writer, List<LedgerRecord.Claim> unresolved, Map<String, String> granted) {
    if (!unresolved.isEmpty()) {
      grant(writer, unresolved.remove(0), unresolved, granted);
    }
  }

  private static void grant(
      LedgerShard writer,
      LedgerRecord.Claim claim,
      List<LedgerRecord.Claim> unresolved,
      Map<String, String> granted) {
    try {
      LedgerAnswer answer = writer.commit(List.of(claim)).get(0);
      if (answer instanceof LedgerAnswer.Accepted) {
        String earlierClaim = granted.putIfAbsent(claim.key(), claim.claimId());
        assertThat(earlierClaim == null || earlierClaim.equals(claim.claimId())).isTrue();
      }
    } catch (PlatformUnavailableException e) {
      unresolved.add(claim);
    }
  }
}
