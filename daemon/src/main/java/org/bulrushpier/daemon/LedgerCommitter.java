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
import org.bulrushpier.platform.PlatformUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits ledger records in batches. Each shard has one owner among the live entries, to which the
 * other entries forward their records, so that one write to the platform carries the records of
 * many.
 *
 * <p>Ownership only reduces the number of writes. An entry that cannot reach the owner writes the
 * records itself; the fence of the shard keeps concurrent writers correct. Thread-safe.
 */
final class LedgerCommitter {

  private static final Logger log = LoggerFactory.getLogger("ledger");
  private static final int MAX_BATCH = 64;
  private static final long FORWARD_TIMEOUT_MILLIS = 900;
  private static final long COMMIT_TIMEOUT_MILLIS = 1_500;
  private static final long COMMIT_RETRY_MILLIS = 50;
  private static final long DEFERRED_RETRY_MILLIS = 500;
  private static final int MAX_DEFERRED = 10_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final ObjectApi api;
  private final Clock clock;
  private final Peers peers;
  private final SettingsManager settingsManager;
  private final Map<Integer, ShardQueue> shardQueues = new ConcurrentHashMap<>();
  private final BlockingQueue<LedgerRecord> deferred = new LinkedBlockingQueue<>(MAX_DEFERRED);

  LedgerCommitter(
      String self, ObjectApi api, Clock clock, Peers peers, SettingsManager settingsManager) {
    this.self = self;
    this.api = api;
    this.clock = clock;
    this.peers = peers;
    this.settingsManager = settingsManager;
    peers.setLedgerOwner(this::commitForPeer);
    Thread.ofVirtual().name("ledger-later").start(this::commitDeferred);
  }

  /**
   * Submits one record. The result always completes normally, with Unavailable if the record could
   * not be committed.
   */
  CompletableFuture<LedgerAnswer> submit(LedgerRecord record) {
    Pending pending = new Pending(record, new CompletableFuture<>());
    shardQueue(shardOf(record.key())).outgoing.add(pending);
    return pending.answer;
  }

  /** Queues a record to be committed once the platform responds again. */
  void submitDeferred(LedgerRecord record) {
    if (!deferred.offer(record)) {
      log.warn(
          "ledger: queue of deferred records is full, dropped the record of key {}", record.key());
    }
  }

  /** Starts deleting records older than the retention period in the shards that this entry owns. */
  void prune() {
    for (ShardQueue shardQueue : shardQueues.values()) {
      if (peers.owner("ledger-" + shardQueue.number).equals(self)) {
        Thread.ofVirtual().name("ledger-prune-" + shardQueue.number).start(shardQueue::prune);
      }
    }
  }

  private CompletableFuture<List<LedgerAnswer>> commitForPeer(
      int shard, List<LedgerRecord> records) {
    List<CompletableFuture<LedgerAnswer>> answers = new ArrayList<>();
    for (LedgerRecord record : records) {
      Pending pending = new Pending(record, new CompletableFuture<>());
      shardQueue(shard).commits.add(pending);
      answers.add(pending.answer);
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
  }

  private int shardOf(String key) {
    int shards = settingsManager.settings().ledgerShards();
    return (int) Long.remainderUnsigned(Hash.hash64(key), shards);
  }

  private ShardQueue shardQueue(int shard) {
    return shardQueues.computeIfAbsent(shard, ShardQueue::new);
  }

  private void commitDeferred() {
    while (true) {
      try {
        LedgerRecord record = deferred.take();
        LedgerAnswer answer = submit(record).get();
        if (answer instanceof LedgerAnswer.Unavailable) {
          submitDeferred(record);
          Thread.sleep(DEFERRED_RETRY_MILLIS);
        }
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException e) {
        log.error("ledger: deferred record failed", e);
      }
    }
  }

  private record Pending(LedgerRecord record, CompletableFuture<LedgerAnswer> answer) {}

  /** The queues of one shard, each drained by its own thread. */
  private final class ShardQueue {

    private final int number;
    private final LedgerShard shard;
    private final BlockingQueue<Pending> outgoing = new LinkedBlockingQueue<>();
    private final BlockingQueue<Pending> commits = new LinkedBlockingQueue<>();

    private ShardQueue(int number) {
      this.number = number;
      this.shard = LedgerShard.of(number, api, clock, LedgerShard.DEFAULT_RETENTION_MILLIS);
      Thread.ofVirtual().name("ledger-out-" + number).start(this::forwardAll);
      Thread.ofVirtual().name("ledger-commit-" + number).start(this::commitAll);
    }

    private void forwardAll() {
      while (true) {
        try {
          List<Pending> batch = takeBatch(outgoing);
          String owner = peers.owner("ledger-" + number);
          if (owner.equals(self)) {
            commits.addAll(batch);
          } else {
            Thread.ofVirtual().start(() -> forward(owner, batch));
            Thread.sleep(commitIntervalMillis() / 2);
          }
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private void forward(String owner, List<Pending> batch) {
      List<LedgerRecord> records = batch.stream().map(Pending::record).toList();
      try {
        List<LedgerAnswer> answers =
            peers
                .forwardToLedgerOwner(owner, number, records)
                .get(FORWARD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (answers.stream().anyMatch(LedgerAnswer.Unavailable.class::isInstance)) {
          commits.addAll(batch);
        } else {
          complete(batch, answers);
        }
      } catch (TimeoutException | ExecutionException e) {
        log.warn("ledger: owner {} of shard {} did not respond, writing locally", owner, number);
        peers.failed(owner);
        commits.addAll(batch);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void commitAll() {
      while (true) {
        try {
          List<Pending> batch = takeBatch(commits);
          long startMillis = clock.millis();
          commit(batch, startMillis);
          long remainingMillis = commitIntervalMillis() - (clock.millis() - startMillis);
          if (remainingMillis > 0) {
            Thread.sleep(remainingMillis);
          }
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private void commit(List<Pending> batch, long startMillis) throws InterruptedException {
      List<LedgerRecord> records = batch.stream().map(Pending::record).toList();
      while (true) {
        try {
          complete(batch, shard.commit(records));
          return;
        } catch (PlatformUnavailableException e) {
          if (clock.millis() - startMillis > COMMIT_TIMEOUT_MILLIS) {
            log.warn("ledger: commit to shard {} timed out: {}", number, e.getMessage());
            batch.forEach(p -> p.answer.complete(new LedgerAnswer.Unavailable(e.getMessage())));
            return;
          }
          Thread.sleep(COMMIT_RETRY_MILLIS);
        }
      }
    }

    private void prune() {
      try {
        log.info("ledger: shard {} deleted {} expired objects", number, shard.prune());
      } catch (PlatformUnavailableException e) {
        log.info("ledger: shard {} was not pruned: {}", number, e.getMessage());
      }
    }

    private void complete(List<Pending> batch, List<LedgerAnswer> answers) {
      for (int i = 0; i < batch.size(); i++) {
        LedgerAnswer answer =
            i < answers.size()
                ? answers.get(i)
                : new LedgerAnswer.Unavailable("the shard owner returned too few answers");
        batch.get(i).answer.complete(answer);
      }
    }

    private long commitIntervalMillis() {
      long writes = settingsManager.settings().ledgerWritesPerSecond();
      return MILLIS_PER_SECOND * settingsManager.settings().ledgerShards() / Math.max(1, writes);
    }

    private static List<Pending> takeBatch(BlockingQueue<Pending> queue)
        throws InterruptedException {
      List<Pending> batch = new ArrayList<>();
      batch.add(queue.take());
      queue.drainTo(batch, MAX_BATCH - 1);
      return batch;
    }
  }

  /** Waits for an answer; returns empty if there is none within the given time. */
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
