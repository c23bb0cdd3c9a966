package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bulrushpier.Clock;
import org.bulrushpier.Hash;
import org.bulrushpier.ledger.LedgerAnswer;
import org.bulrushpier.ledger.LedgerRecord;
import org.bulrushpier.ledger.LedgerShard;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits ledger records in groups: each shard has one owner among the live entries, to which the
 * others send theirs, so that one write at the platform carries the records of many.
 *
 * <p>Ownership only saves writes. An entry that cannot reach the owner writes itself; the shard's
 * fence keeps both correct. Thread-safe.
 */
final class LedgerDesk {

  private static final Logger log = LoggerFactory.getLogger("ledger");
  private static final int MAX_BATCH = 64;
  private static final long ASK_MILLIS = 900;
  private static final long GIVE_UP_MILLIS = 1_500;
  private static final long RETRY_MILLIS = 50;
  private static final long LATER_MILLIS = 500;
  private static final int MAX_LATER = 10_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final ObjectApi api;
  private final Clock clock;
  private final Peers peers;
  private final SettingsKeeper keeper;
  private final Map<Integer, Lane> lanes = new ConcurrentHashMap<>();
  private final BlockingQueue<LedgerRecord> later = new LinkedBlockingQueue<>(MAX_LATER);

  LedgerDesk(String self, ObjectApi api, Clock clock, Peers peers, SettingsKeeper keeper) {
    this.self = self;
    this.api = api;
    this.clock = clock;
    this.peers = peers;
    this.keeper = keeper;
    peers.setLedgerOwner(this::commitForPeer);
    Thread.ofVirtual().name("ledger-later").start(this::commitLater);
  }

  /** Adds one record; completes normally, at the latest with Unavailable. */
  CompletableFuture<LedgerAnswer> submit(LedgerRecord record) {
    Pending pending = new Pending(record, new CompletableFuture<>());
    lane(shardOf(record.key())).outgoing.add(pending);
    return pending.answer;
  }

  /** Keeps a record to be committed once the platform answers again. */
  void submitLater(LedgerRecord record) {
    if (!later.offer(record)) {
      log.warn("ledger: dropped a late record of key {}.", record.key());
    }
  }

  /** Starts deleting what is beyond the retention in the shards that this entry owns. */
  void prune() {
    for (Lane lane : lanes.values()) {
      if (peers.owner("ledger-" + lane.number).equals(self)) {
        Thread.ofVirtual().name("ledger-prune-" + lane.number).start(lane::prune);
      }
    }
  }

  private CompletableFuture<List<LedgerAnswer>> commitForPeer(
      int shard, List<LedgerRecord> records) {
    List<CompletableFuture<LedgerAnswer>> answers = new ArrayList<>();
    for (LedgerRecord record : records) {
      Pending pending = new Pending(record, new CompletableFuture<>());
      lane(shard).commits.add(pending);
      answers.add(pending.answer);
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
  }

  private int shardOf(String key) {
    int shards = keeper.settings().ledgerShards();
    return (int) Long.remainderUnsigned(Hash.hash64(key), shards);
  }

  private Lane lane(int shard) {
    return lanes.computeIfAbsent(shard, Lane::new);
  }

  private void commitLater() {
    while (true) {
      try {
        LedgerRecord record = later.take();
        LedgerAnswer answer = submit(record).get();
        if (answer instanceof LedgerAnswer.Unavailable) {
          submitLater(record);
          Thread.sleep(LATER_MILLIS);
        }
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException e) {
        log.error("ledger: late record failed.", e);
      }
    }
  }

  private record Pending(LedgerRecord record, CompletableFuture<LedgerAnswer> answer) {}

  /** The queues of one shard, each emptied by a worker of its own. */
  private final class Lane {

    private final int number;
    private final LedgerShard shard;
    private final BlockingQueue<Pending> outgoing = new LinkedBlockingQueue<>();
    private final BlockingQueue<Pending> commits = new LinkedBlockingQueue<>();

    private Lane(int number) {
      this.number = number;
      this.shard = LedgerShard.of(number, api, clock, LedgerShard.DEFAULT_RETENTION_MILLIS);
      Thread.ofVirtual().name("ledger-out-" + number).start(this::forwardAll);
      Thread.ofVirtual().name("ledger-commit-" + number).start(this::commitAll);
    }

    private void forwardAll() {
      while (true) {
        try {
          List<Pending> batch = take(outgoing);
          String owner = peers.owner("ledger-" + number);
          if (owner.equals(self)) {
            commits.addAll(batch);
          } else {
            Thread.ofVirtual().start(() -> ask(owner, batch));
            Thread.sleep(gapMillis() / 2);
          }
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private void ask(String owner, List<Pending> batch) {
      List<LedgerRecord> records = batch.stream().map(Pending::record).toList();
      try {
        List<LedgerAnswer> answers =
            peers.askLedger(owner, number, records).get(ASK_MILLIS, TimeUnit.MILLISECONDS);
        if (answers.stream().anyMatch(LedgerAnswer.Unavailable.class::isInstance)) {
          commits.addAll(batch);
        } else {
          complete(batch, answers);
        }
      } catch (TimeoutException | ExecutionException e) {
        log.warn("ledger: owner {} of shard {} did not answer, writing here.", owner, number);
        peers.failed(owner);
        commits.addAll(batch);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void commitAll() {
      while (true) {
        try {
          List<Pending> batch = take(commits);
          long begun = clock.millis();
          commit(batch, begun);
          long rest = gapMillis() - (clock.millis() - begun);
          if (rest > 0) {
            Thread.sleep(rest);
          }
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private void commit(List<Pending> batch, long begun) throws InterruptedException {
      List<LedgerRecord> records = batch.stream().map(Pending::record).toList();
      while (true) {
        try {
          complete(batch, shard.commit(records));
          return;
        } catch (PlatformUnavailable e) {
          if (clock.millis() - begun > GIVE_UP_MILLIS) {
            log.warn("ledger: shard {} gave up: {}", number, e.getMessage());
            batch.forEach(p -> p.answer.complete(new LedgerAnswer.Unavailable(e.getMessage())));
            return;
          }
          Thread.sleep(RETRY_MILLIS);
        }
      }
    }

    private void prune() {
      try {
        log.info("ledger: shard {} deleted {} old objects.", number, shard.prune());
      } catch (PlatformUnavailable e) {
        log.info("ledger: shard {} was not pruned: {}", number, e.getMessage());
      }
    }

    private void complete(List<Pending> batch, List<LedgerAnswer> answers) {
      for (int i = 0; i < batch.size(); i++) {
        LedgerAnswer answer =
            i < answers.size()
                ? answers.get(i)
                : new LedgerAnswer.Unavailable("the owner's answer was too short");
        batch.get(i).answer.complete(answer);
      }
    }

    private long gapMillis() {
      long writes = keeper.settings().ledgerWritesPerSecond();
      return MILLIS_PER_SECOND * keeper.settings().ledgerShards() / Math.max(1, writes);
    }

    private static List<Pending> take(BlockingQueue<Pending> queue) throws InterruptedException {
      List<Pending> batch = new ArrayList<>();
      batch.add(queue.take());
      queue.drainTo(batch, MAX_BATCH - 1);
      return batch;
    }
  }

  /** Waits for an answer, at most for a time. */
  static Optional<LedgerAnswer> await(CompletableFuture<LedgerAnswer> answer, long millis) {
    try {
      return Optional.of(answer.get(Math.max(1, millis), TimeUnit.MILLISECONDS));
    } catch (TimeoutException | ExecutionException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
