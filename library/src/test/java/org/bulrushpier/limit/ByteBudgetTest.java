package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.limit.ByteBudget.Account;
import org.bulrushpier.limit.ByteBudget.Use;
import org.junit.jupiter.api.Test;

/** Guards against messages that together fill the heap, so that the process ends by itself. */
class ByteBudgetTest {

  private static final long CAPACITY = 10_000_000;
  private static final long LARGE = 1_000_000;

  private final Queue<Runnable> later = new ArrayDeque<>();
  private final ByteBudget budget = ByteBudget.of(CAPACITY, later::add);
  private final List<String> events = new ArrayList<>();

  private void runLater() {
    while (!later.isEmpty()) {
      later.remove().run();
    }
  }

  private Account filled(Use use, long bytes) {
    Account account = budget.open(use);
    assertThat(account.grow(bytes)).isTrue();
    return account;
  }

  @Test
  void requestsLeaveRoomForTheirResponses() {
    while (budget.open(Use.REQUEST).grow(LARGE)) {
      assertThat(budget.used()).isLessThanOrEqualTo(CAPACITY / 2);
    }

    assertThat(budget.open(Use.RESPONSE).grow(LARGE)).isTrue();
    assertThat(budget.open(Use.OUTPUT).grow(LARGE)).isTrue();
  }

  @Test
  void largeRequestsDoNotShutOutSmallOnes() {
    filled(Use.REQUEST, CAPACITY / 2);

    assertThat(budget.open(Use.REQUEST).grow(ByteBudget.SMALL_BYTES + 1)).isFalse();
    assertThat(budget.open(Use.REQUEST).growOrWait(ByteBudget.SMALL_BYTES, () -> {})).isTrue();
  }

  @Test
  void largeRequestsGetTheirRoomInOrder() {
    final Account first = filled(Use.REQUEST, CAPACITY / 2);
    for (String name : List.of("a", "b", "c")) {
      Account account = budget.open(Use.REQUEST);
      long bytes = name.equals("a") ? 3 * LARGE : LARGE;
      assertThat(account.growOrWait(bytes, () -> events.add(name))).isFalse();
    }

    first.resize(CAPACITY / 2 - LARGE);
    runLater();
    assertThat(events).isEmpty();
    first.close();
    runLater();

    assertThat(events).containsExactly("a", "b", "c");
    assertThat(budget.used()).isEqualTo(5 * LARGE);
  }

  @Test
  void closedAccountWaitsForNothing() {
    Account first = filled(Use.REQUEST, CAPACITY / 2);
    Account second = budget.open(Use.REQUEST);
    assertThat(second.growOrWait(LARGE, () -> events.add("granted"))).isFalse();

    second.close();
    first.close();
    runLater();

    assertThat(events).isEmpty();
    assertThat(budget.used()).isZero();
  }

  @Test
  void largestResponseWithoutLengthGivesWay() {
    final Account known = filled(Use.RESPONSE, 4 * LARGE);
    Account small = budget.openEvictable(Use.RESPONSE, () -> events.add("small"));
    small.grow(ByteBudget.SMALL_BYTES);
    Account largest = budget.openEvictable(Use.RESPONSE, () -> events.add("largest"));
    largest.grow(2 * LARGE);
    Account other = budget.openEvictable(Use.RESPONSE, () -> events.add("other"));
    other.grow(LARGE);

    assertThat(other.grow(LARGE / 2)).isTrue();

    assertThat(events).containsExactly("largest");
    assertThat(largest.bytes()).isZero();
    assertThat(known.bytes()).isEqualTo(4 * LARGE);
  }

  @Test
  void responseThatIsTheLargestItselfDoesNotGrow() {
    filled(Use.RESPONSE, 6 * LARGE);
    Account largest = budget.openEvictable(Use.RESPONSE, () -> events.add("evicted"));
    assertThat(largest.grow(LARGE)).isTrue();

    assertThat(largest.grow(LARGE)).isFalse();

    assertThat(largest.bytes()).isEqualTo(LARGE);
    assertThat(events).isEmpty();
  }

  /** Output of a caller that reads nothing. */
  private final class Unread implements ByteBudget.Output {
    private final String name;
    private final SlowReaders.Kind kind;
    private long unreadMillis;

    Unread(String name, SlowReaders.Kind kind, long unreadMillis) {
      this.name = name;
      this.kind = kind;
      this.unreadMillis = unreadMillis;
    }

    @Override
    public SlowReaders.Kind kind() {
      return kind;
    }

    @Override
    public long unreadMillis() {
      return unreadMillis;
    }

    @Override
    public void cut(long bytes) {
      events.add(name + " " + bytes);
    }
  }

  private Unread unread(String name, SlowReaders.Kind kind, long unreadMillis, long bytes) {
    Unread output = new Unread(name, kind, unreadMillis);
    assertThat(budget.openOutput(output).resize(bytes)).isTrue();
    return output;
  }

  @Test
  void slowReadersGiveWayToAllUses() {
    long behind = SlowReaders.Kind.STREAM.patienceMillis();
    for (Use use : Use.values()) {
      unread("slow", SlowReaders.Kind.STREAM, behind, 8 * LARGE);

      final Account account = filled(use, LARGE);
      assertThat(budget.unread()).isZero();
      runLater();

      assertThat(events).containsExactly("slow " + 8 * LARGE);
      events.clear();
      account.close();
    }
  }

  @Test
  void thoseWhoWaitGetRoomOnceReadersAreFarBehind() {
    final Unread output = unread("slow", SlowReaders.Kind.STREAM, 0, 8 * LARGE);
    Account waiting = budget.open(Use.RESPONSE);
    assertThat(waiting.growOrWait(LARGE, () -> events.add("granted"))).isFalse();
    budget.relieve();
    runLater();
    assertThat(events).isEmpty();

    output.unreadMillis = SlowReaders.Kind.STREAM.patienceMillis();
    budget.relieve();
    runLater();

    assertThat(events).containsExactlyInAnyOrder("slow " + 8 * LARGE, "granted");
    assertThat(budget.used()).isEqualTo(LARGE);
  }

  @Test
  void readyAnswerDisplacesStreamsIfThereIsNoRoomForOutput() {
    unread("stream", SlowReaders.Kind.STREAM, 0, 3 * LARGE);
    unread("ready", SlowReaders.Kind.READY, 0, 4 * LARGE);

    unread("new", SlowReaders.Kind.READY, 0, 4 * LARGE);
    runLater();

    assertThat(events).containsExactly("stream " + 3 * LARGE);
  }

  /** Its connection is closed soon after and may be written to until then. */
  @Test
  void callerThatWasCutKeepsNothingAnyMore() {
    Unread output =
        new Unread("slow", SlowReaders.Kind.STREAM, SlowReaders.Kind.STREAM.patienceMillis());
    Account account = budget.openOutput(output);
    account.resize(6 * LARGE);
    final Account other = filled(Use.REQUEST, LARGE);

    assertThat(account.resize(7 * LARGE)).isTrue();
    runLater();
    account.close();

    assertThat(budget.used()).isEqualTo(LARGE);
    other.close();
    assertThat(budget.used()).isZero();
  }

  @Property
  void sumNeverExceedsTheCapacity(
      @ForAll @Size(max = 200) List<@IntRange(max = 9_999_999) Integer> steps) {
    List<Account> accounts = new ArrayList<>();
    for (Use use : Use.values()) {
      accounts.add(budget.open(use));
      accounts.add(budget.openEvictable(use, () -> {}));
      accounts.add(budget.openEvictable(use, () -> {}));
      SlowReaders.Kind kind = SlowReaders.Kind.values()[use.ordinal() % 2];
      accounts.add(budget.openOutput(new Unread("output", kind, use.ordinal() * 6_000L)));
    }
    for (int step : steps) {
      Account account = accounts.get(step % accounts.size());
      switch (step % 5) {
        case 0 -> account.close();
        case 1 -> account.growOrWait(step / 8, () -> {});
        case 2 -> account.resize(step / 2);
        default -> account.grow(step / 8);
      }
      if (step % 3 == 0) {
        budget.relieve();
        runLater();
      }
      assertThat(budget.used())
          .isBetween(0L, CAPACITY)
          .isEqualTo(accounts.stream().mapToLong(Account::bytes).sum());
    }
    accounts.forEach(Account::close);
    assertThat(budget.used()).isZero();
  }
}
