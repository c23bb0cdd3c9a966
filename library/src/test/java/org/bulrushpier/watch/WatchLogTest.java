package org.bulrushpier.watch;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushpier.Moment;
import org.bulrushpier.watch.WatchLog.Answer;
import org.bulrushpier.watch.WatchLog.Change;
import org.junit.jupiter.api.Test;

/** Plays readers that fall behind or lose their history before followers that change readers. */
class WatchLogTest {

  private static final int OBJECTS = 5;
  private static final long PERIOD = 1_350;

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private static Change change(String name, long revision, boolean isRemoved) {
    ByteBuffer json = ByteBuffer.wrap((name + "@" + revision).getBytes(UTF_8));
    return new Change(name, revision, isRemoved, json);
  }

  private static byte[] body(String text) {
    return text.getBytes(UTF_8);
  }

  /** A store of one kind; changes of other kinds also raise the revision. */
  private static final class Store {
    private final Random random;
    private final List<Change> history = new ArrayList<>();
    private final List<Long> revisions = new ArrayList<>();
    private final Map<String, Long> objects = new TreeMap<>();
    private long revision = 1;

    Store(Random random) {
      this.random = random;
    }

    void advance() {
      revision++;
      String name = "o" + random.nextInt(OBJECTS);
      if (random.nextInt(3) == 0) {
        return;
      }
      Long before = objects.get(name);
      if (before != null && random.nextInt(3) == 0) {
        objects.remove(name);
        add(WatchLogTest.change(name, random.nextBoolean() ? before : revision, true));
      } else {
        objects.put(name, revision);
        add(WatchLogTest.change(name, revision, false));
      }
    }

    private void add(Change change) {
      history.add(change);
      revisions.add(revision);
    }

    List<Change> changes(long after, long upTo) {
      List<Change> changes = new ArrayList<>();
      for (int i = 0; i < history.size(); i++) {
        if (revisions.get(i) > after && revisions.get(i) <= upTo) {
          changes.add(history.get(i));
        }
      }
      return changes;
    }

    Map<String, Long> at(long atRevision) {
      Map<String, Long> state = new TreeMap<>();
      changes(0, atRevision).forEach(change -> apply(state, change));
      return state;
    }
  }

  private static void apply(Map<String, Long> state, Change change) {
    if (change.isRemoved()) {
      state.remove(change.name());
    } else {
      state.put(change.name(), change.revision());
    }
  }

  /** An instance that reads the store and answers from its log. */
  private static final class Reader {
    private final WatchLog log = new WatchLog();
    private final Store store;

    /** The changes of the result whose body has a number. */
    private final List<List<Change>> bodies = new ArrayList<>();

    Reader(Store store) {
      this.store = store;
      log.begin(store.revision, at(0), at(0), PERIOD);
    }

    void watch() {
      List<Change> changes = store.changes(log.revision(), store.revision);
      bodies.add(changes);
      byte[] body = body((bodies.size() - 1) + " ".repeat(store.random.nextInt(60_000)));
      log.append(store.revision, changes, body, at(0), at(0), PERIOD);
    }

    List<Change> changes(byte[] body) {
      return bodies.get(Integer.parseInt(new String(body, UTF_8).strip()));
    }
  }

  /** An instance that knows the state at a revision. */
  private static final class Follower {
    private final Map<String, Long> state = new TreeMap<>();
    private long revision;

    void list(Store store) {
      state.clear();
      state.putAll(store.objects);
      revision = store.revision;
    }

    void watch(Reader reader) {
      switch (reader.log.after(revision)) {
        case Answer.Gone gone -> watch(reader.store);
        case Answer.Nothing nothing -> {}
        case Answer.Whole whole -> apply(reader.changes(whole.body()), reader.log.revision());
        case Answer.Selected selected -> apply(selected.changes(), selected.revision());
      }
    }

    void watch(Store store) {
      apply(store.changes(revision, store.revision), store.revision);
    }

    private void apply(List<Change> changes, long newRevision) {
      changes.forEach(change -> WatchLogTest.apply(state, change));
      revision = Math.max(revision, newRevision);
    }
  }

  @Property(tries = 2_000)
  void followerHasTheStateOfItsRevisionWhateverItReads(@ForAll long seed) {
    Random random = new Random(seed);
    Store store = new Store(random);
    Reader[] readers = {new Reader(store), new Reader(store)};
    Follower follower = new Follower();
    follower.list(store);
    for (int step = 0; step < 120; step++) {
      long before = follower.revision;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> store.advance();
        case 4, 5, 6 -> readers[random.nextInt(2)].watch();
        case 7, 8, 9 -> follower.watch(readers[random.nextInt(2)]);
        case 10 -> follower.watch(store);
        default -> {
          if (random.nextInt(4) == 0) {
            follower.list(store);
          } else if (random.nextInt(4) == 0) {
            readers[random.nextInt(2)].log.begin(store.revision, at(0), at(0), PERIOD);
          }
        }
      }
      assertThat(follower.revision).isGreaterThanOrEqualTo(before);
      assertThat(follower.state).isEqualTo(store.at(follower.revision));
    }
  }

  private static WatchLog log(long revision) {
    WatchLog log = new WatchLog();
    log.begin(revision, at(0), at(0), PERIOD);
    return log;
  }

  private static void append(WatchLog log, long revision, Change... changes) {
    log.append(revision, List.of(changes), body("r" + revision), at(0), at(0), PERIOD);
  }

  private static List<String> names(Answer answer) {
    return ((Answer.Selected) answer)
        .changes().stream()
            .map(change -> (change.isRemoved() ? "-" : "+") + change.name() + change.revision())
            .toList();
  }

  @Test
  void latestResultIsPassedOnAsItWasReceived() {
    WatchLog log = log(4);
    append(log, 6, change("a", 5, false), change("a", 6, false));

    assertThat(((Answer.Whole) log.after(4)).body()).isEqualTo(body("r6"));
    assertThat(log.after(6)).isInstanceOf(Answer.Nothing.class);
    assertThat(log.after(9)).isInstanceOf(Answer.Nothing.class);
    assertThat(log.after(3)).isInstanceOf(Answer.Gone.class);
  }

  @Test
  void severalResultsAreJoinedInOrder() {
    WatchLog log = log(4);
    append(log, 6, change("a", 5, false), change("a", 5, true));
    append(log, 8, change("a", 8, false));

    assertThat(names(log.after(4))).containsExactly("+a5", "-a5", "+a8");
    assertThat(log.after(6)).isInstanceOf(Answer.Whole.class);
  }

  @Test
  void revisionOfOtherKindsIsTold() {
    WatchLog log = log(4);
    append(log, 7);

    assertThat(log.after(5)).isEqualTo(new Answer.Selected(List.of(), 7));
  }

  /** The follower has listed at revision 6, in the middle of a result. */
  @Test
  void objectThatWasRemovedAndAddedAgainWithinOneResult() {
    WatchLog log = log(4);
    append(log, 8, change("a", 5, true), change("a", 6, false), change("b", 7, true));
    assertThat(names(log.after(6))).containsExactly("-b7");

    append(log, 10, change("a", 6, true), change("a", 10, false));
    assertThat(names(log.after(6))).containsExactly("-b7", "+a10");
  }

  @Test
  void changesThatCannotBeReadAreKept() {
    WatchLog log = log(4);
    append(log, 8, change("", 0, false), change("", 0, false), change("a", 0, false));

    assertThat(names(log.after(6))).containsExactly("+0", "+0", "+a0");
  }

  @Test
  void logIsBounded() {
    WatchLog log = log(4);
    for (int i = 0; i < WatchLog.MAX_RESULTS + 1; i++) {
      append(log, 5 + i, change("a", 5 + i, false));
    }
    assertThat(log.after(4)).isInstanceOf(Answer.Gone.class);
    assertThat(log.after(5)).isInstanceOf(Answer.Selected.class);

    byte[] large = new byte[WatchLog.MAX_BYTES + 1];
    log.append(100, List.of(change("a", 100, false)), large, at(0), at(0), PERIOD);
    assertThat(log.bytes()).isZero();
    assertThat(log.after(99)).isInstanceOf(Answer.Gone.class);
    assertThat(log.after(100)).isInstanceOf(Answer.Nothing.class);
  }

  @Test
  void logWithoutRecentResultIsNotCurrent() {
    WatchLog log = log(4);
    assertThat(log.isCurrent(at(PERIOD + WatchLog.OVERDUE_MILLIS))).isTrue();
    assertThat(log.isCurrent(at(PERIOD + WatchLog.OVERDUE_MILLIS + 1))).isFalse();

    log.failed(at(100));
    log.failed(at(300));
    assertThat(log.isCurrent(at(100 + WatchLog.FAILING_MILLIS))).isTrue();
    assertThat(log.isCurrent(at(100 + WatchLog.FAILING_MILLIS + 1))).isFalse();
    append(log, 5);
    assertThat(log.isCurrent(at(PERIOD))).isTrue();

    log.end();
    assertThat(log.isCurrent(at(0))).isFalse();
    assertThat(log.after(5)).isInstanceOf(Answer.Gone.class);
  }

  /** While the process is suspended, only the time of day goes on. */
  @Test
  void readerThatWasSuspendedIsNotCurrentAndItsProofIsOld() {
    WatchLog log = log(4);
    Moment received = at(100);
    Moment woken = new Moment(150, 9_150);

    assertThat(log.isCurrent(woken)).isFalse();
    assertThat(log.proofOffsetMillis(received, woken)).isEqualTo(50 - 9_150);
  }

  @Property
  void proofIsNeverYoungerThanAtTheReader(@ForAll long seed) {
    Random random = new Random(seed);
    long proven = random.nextInt(1_000);
    long sent = random.nextInt(2_000);
    long arrived = sent + random.nextInt(50);
    long answered = Math.max(proven, arrived) + random.nextInt(2_000);
    long returned = answered + random.nextInt(50);
    WatchLog log = log(4);
    log.append(5, List.of(), body(""), at(proven), at(answered), PERIOD);

    // The clocks of the reader, at which the moments above are read, are ahead of the follower's.
    long offset = log.proofOffsetMillis(at(arrived), at(answered));
    long ahead = random.nextInt(100_000);
    Moment atFollower = WatchLog.provenAt(at(sent - ahead), offset, at(returned - ahead));

    assertThat(atFollower.monotonicMillis() + ahead).isBetween(proven - 50, proven);
  }

  @Test
  void proofIsNotLaterThanTheAnswer() {
    assertThat(WatchLog.provenAt(at(1_000), 5_000, at(1_200))).isEqualTo(at(1_200));
  }
}
