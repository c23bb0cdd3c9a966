package org.bulrushpier.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushpier.Clock;
import org.bulrushpier.Codec;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.platform.StoredObject;

/**
 * A shard of the idempotency ledger: a log of platform objects to which any entry may append.
 *
 * <pre>{@code
 * LedgerShard shard = LedgerShard.of(0, api, clock, LedgerShard.DEFAULT_RETENTION_MILLIS);
 * List<LedgerAnswer> answers = shard.commit(List.of(claim));
 * }</pre>
 *
 * <p>The log is a sequence of objects {@code ledger/SHARD/NUMBER}. All records of one {@link
 * #commit} are appended with a single conditional write of the last object. The version of that
 * object is the fencing token: the write fails if the writer has not seen the newest records, which
 * it must then read. An object that reaches its size limit is sealed by the same write and never
 * written again.
 *
 * <p>Invariants: a claim is accepted only by a write that is conditional on all earlier records; a
 * key has at most one accepted claim that has not been released; an outcome is never replaced.
 * After a write without a response, the shard reads the log again before it writes. A write that
 * took effect is then recognised by its claim ids, and one that is still in flight fails its
 * version check.
 *
 * <p>Thread-safe. A single lock per shard is held during calls to the platform; no other lock is
 * acquired while it is held.
 */
public final class LedgerShard {

  /** The default time for which keys are retained, in milliseconds. */
  public static final long DEFAULT_RETENTION_MILLIS = 24L * 3_600_000L;

  /** The size at which an object is sealed, in bytes. */
  static final int SEAL_BYTES = 32_768;

  private static final int MAX_ATTEMPTS = 8;

  private final String prefix;
  private final ObjectApi api;
  private final Clock clock;
  private final long retentionMillis;
  private final Map<String, Entry> index = new HashMap<>();
  private final TreeMap<Long, Long> sealedVersions = new TreeMap<>();
  private boolean isLoaded;
  private long tailNumber;
  private long tailVersion;
  private Segment tail = Segment.EMPTY;

  private LedgerShard(int shard, ObjectApi api, Clock clock, long retentionMillis) {
    this.prefix = String.format("ledger/%04d/", shard);
    this.api = api;
    this.clock = clock;
    this.retentionMillis = retentionMillis;
  }

  /**
   * Creates a client for a shard. Nothing is read until the first commit.
   *
   * @param shard the number of the shard, at least 0
   * @param api the platform's object API
   * @param clock the clock that determines the age of records
   * @param retentionMillis the time for which keys are retained, in milliseconds
   * @return the shard
   */
  public static LedgerShard of(int shard, ObjectApi api, Clock clock, long retentionMillis) {
    return new LedgerShard(shard, api, clock, retentionMillis);
  }

  /**
   * Appends records to the ledger, with a single conditional write unless other writers interfere.
   *
   * @param records the records, in the order in which they are to take effect
   * @return one answer for each record, in the same order
   * @throws PlatformUnavailableException if the platform did not answer, or if concurrent writers
   *     made all attempts fail; the records may be in the ledger, and it is safe to commit them
   *     again
   */
  public synchronized List<LedgerAnswer> commit(List<LedgerRecord> records) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      ensureLoaded();
      List<LedgerRecord> added = new ArrayList<>();
      List<LedgerAnswer> answers = evaluate(records, added);
      if (added.isEmpty()) {
        return answers.stream().allMatch(LedgerShard::isFinal) ? answers : reevaluate(records);
      }
      if (write(added)) {
        return answers;
      }
    }
    throw new PlatformUnavailableException(
        "ledger: " + prefix + " has too many concurrent writers", null);
  }

  /**
   * Deletes the oldest sealed objects, up to the first one with a claim that is not older than the
   * retention time, and removes the keys with older claims from the local index.
   *
   * <p>Objects are deleted in the order of the log, since results and releases are stored in later
   * objects than their claims and must not be lost before them.
   *
   * @return the number of deleted objects
   * @throws PlatformUnavailableException if the platform did not answer
   */
  public synchronized int prune() {
    ensureLoaded();
    long oldest = clock.millis() - retentionMillis;
    int deleted = 0;
    for (Iterator<Map.Entry<Long, Long>> it = sealedVersions.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<Long, Long> sealed = it.next();
      if (newestClaim(sealed.getKey()) >= oldest
          || !api.delete(objectKey(sealed.getKey()), sealed.getValue())) {
        break;
      }
      it.remove();
      deleted++;
    }
    index.values().removeIf(entry -> entry.claim().atMillis() < oldest);
    return deleted;
  }

  /**
   * Returns the number of keys in the local index.
   *
   * @return the number of keys
   */
  public synchronized int size() {
    return index.size();
  }

  /**
   * Reads the log again, because another writer may have recorded an outcome for the blocking claim
   * or released it.
   */
  private List<LedgerAnswer> reevaluate(List<LedgerRecord> records) {
    readTail();
    List<LedgerRecord> added = new ArrayList<>();
    List<LedgerAnswer> answers = evaluate(records, added);
    return added.isEmpty() || write(added) ? answers : commit(records);
  }

  private static boolean isFinal(LedgerAnswer answer) {
    return answer instanceof LedgerAnswer.Accepted || answer instanceof LedgerAnswer.Repeated;
  }

  private long newestClaim(long number) {
    return index.values().stream()
        .filter(entry -> entry.claimNumber() == number)
        .mapToLong(entry -> entry.claim().atMillis())
        .max()
        .orElse(Long.MIN_VALUE);
  }

  private List<LedgerAnswer> evaluate(List<LedgerRecord> records, List<LedgerRecord> added) {
    Map<String, Entry> uncommitted = new HashMap<>();
    List<LedgerAnswer> answers = new ArrayList<>();
    for (LedgerRecord record : records) {
      Entry known =
          uncommitted.containsKey(record.key())
              ? uncommitted.get(record.key())
              : index.get(record.key());
      LedgerAnswer answer = answer(record, known);
      if (answer instanceof LedgerAnswer.Accepted && changesState(record, known)) {
        added.add(record);
        uncommitted.put(record.key(), apply(record, known, tailNumber));
      }
      answers.add(answer);
    }
    return answers;
  }

  private static LedgerAnswer answer(LedgerRecord record, Entry known) {
    if (!(record instanceof LedgerRecord.Claim claim) || known == null) {
      return new LedgerAnswer.Accepted();
    }
    if (known.outcome().isPresent()) {
      return known.claim().requestHash().equals(claim.requestHash())
          ? new LedgerAnswer.Repeated(known.outcome().get())
          : new LedgerAnswer.KeyReused();
    }
    if (known.claim().claimId().equals(claim.claimId())) {
      return new LedgerAnswer.Accepted();
    }
    if (!known.claim().requestHash().equals(claim.requestHash())) {
      return new LedgerAnswer.KeyReused();
    }
    return known.isLost()
        ? new LedgerAnswer.Lost(known.claim().atMillis())
        : new LedgerAnswer.Pending(known.claim().atMillis());
  }

  /**
   * Returns whether a record has to be written. A release is written even if its claim is not in
   * the ledger, because the write makes a claim fail whose own write is still in flight.
   */
  private static boolean changesState(LedgerRecord record, Entry known) {
    return switch (record) {
      case LedgerRecord.Claim claim -> known == null;
      case LedgerRecord.Result result -> isOpen(known, result.claimId());
      case LedgerRecord.Lost lost -> isOpen(known, lost.claimId());
      case LedgerRecord.Release release -> known == null || isOpen(known, release.claimId());
    };
  }

  private static boolean isOpen(Entry known, String claimId) {
    return known != null
        && known.claim().claimId().equals(claimId)
        && known.outcome().isEmpty()
        && !known.isLost();
  }

  /**
   * Returns the state of a key after a record. A claim is only written if its key has no claim or
   * an expired one, so it replaces any earlier claim.
   */
  private static Entry apply(LedgerRecord record, Entry known, long number) {
    return switch (record) {
      case LedgerRecord.Claim claim -> new Entry(claim, Optional.empty(), false, number);
      case LedgerRecord.Result result ->
          isOpen(known, result.claimId())
              ? new Entry(known.claim(), Optional.of(result.outcome()), false, known.claimNumber())
              : known;
      case LedgerRecord.Lost lost ->
          isOpen(known, lost.claimId())
              ? new Entry(known.claim(), Optional.empty(), true, known.claimNumber())
              : known;
      case LedgerRecord.Release release -> isOpen(known, release.claimId()) ? null : known;
    };
  }

  private boolean write(List<LedgerRecord> added) {
    if (tail.isSealed()) {
      sealedVersions.put(tailNumber, tailVersion);
      tailNumber++;
      tailVersion = ObjectApi.ABSENT;
      tail = Segment.EMPTY;
    }
    Segment next = tail.plus(added, false);
    byte[] bytes = Codec.messagePack().write(next);
    if (bytes.length >= SEAL_BYTES) {
      next = tail.plus(added, true);
      bytes = Codec.messagePack().write(next);
    }
    Optional<Long> version = writeOrInvalidate(bytes);
    if (version.isEmpty()) {
      readTail();
      return false;
    }
    tail = next;
    tailVersion = version.get();
    added.forEach(this::applyToIndex);
    return true;
  }

  private Optional<Long> writeOrInvalidate(byte[] bytes) {
    try {
      return api.write(objectKey(tailNumber), bytes, tailVersion);
    } catch (PlatformUnavailableException e) {
      isLoaded = false;
      throw e;
    }
  }

  private void ensureLoaded() {
    if (!isLoaded) {
      readTail();
      isLoaded = true;
    }
  }

  /** Reads the objects from the last known one on, or all of them if none is known. */
  private void readTail() {
    isLoaded = false;
    if (tailVersion == ObjectApi.ABSENT) {
      readAll();
    } else {
      readFrom(tailNumber);
    }
    isLoaded = true;
  }

  private void readAll() {
    rebuild(api.list(prefix));
  }

  private void rebuild(List<StoredObject> objects) {
    index.clear();
    sealedVersions.clear();
    tailNumber = 0;
    tailVersion = ObjectApi.ABSENT;
    tail = Segment.EMPTY;
    for (StoredObject object : objects) {
      appendObject(numberOf(object.key()), object, 0);
    }
  }

  private void readFrom(long number) {
    int appliedRecords = tail.records().size();
    for (long next = number; ; next++) {
      Optional<StoredObject> object = api.read(objectKey(next));
      if (object.isEmpty()) {
        if (next == number) {
          readAll();
        }
        return;
      }
      appendObject(next, object.get(), next == number ? appliedRecords : 0);
      if (!tail.isSealed()) {
        return;
      }
    }
  }

  private void appendObject(long number, StoredObject object, int appliedRecords) {
    if (tail.isSealed()) {
      sealedVersions.put(tailNumber, tailVersion);
    }
    Segment segment = Codec.messagePack().read(object.value(), Segment.class);
    tailNumber = number;
    tailVersion = object.version();
    tail = segment;
    List<LedgerRecord> records = segment.records();
    records.subList(appliedRecords, records.size()).forEach(this::applyToIndex);
  }

  private void applyToIndex(LedgerRecord record) {
    Entry next = apply(record, index.get(record.key()), tailNumber);
    if (next == null) {
      index.remove(record.key());
    } else {
      index.put(record.key(), next);
    }
  }

  private String objectKey(long number) {
    return prefix + String.format("%010d", number);
  }

  private static long numberOf(String objectKey) {
    return Long.parseLong(objectKey.substring(objectKey.lastIndexOf('/') + 1));
  }

  /**
   * The state of a key.
   *
   * @param claimNumber the number of the object that holds the claim
   */
  private record Entry(
      LedgerRecord.Claim claim, Optional<Outcome> outcome, boolean isLost, long claimNumber) {}
}
