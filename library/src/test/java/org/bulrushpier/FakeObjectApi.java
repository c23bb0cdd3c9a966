package org.bulrushpier;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.platform.StoredObject;

/**
 * An in-memory object API with fault injection. A write can be refused, applied with its response
 * lost, or applied only after the caller has seen a failure.
 */
public final class FakeObjectApi implements ObjectApi {

  /** The behaviour of the next write. */
  public enum Fault {
    NONE,
    REFUSE,
    LOSE_RESPONSE,
    DELAY
  }

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private Fault nextWrite = Fault.NONE;
  private boolean isDown;
  private long lastVersion;
  private int writes;

  /** Sets the behaviour of the next write; later writes succeed again. */
  public void nextWrite(Fault fault) {
    nextWrite = fault;
  }

  /** Sets whether all calls fail. */
  public void setDown(boolean down) {
    isDown = down;
  }

  /** Returns the number of writes that were applied. */
  public int writes() {
    return writes;
  }

  /** Applies the delayed writes, except those whose expected version no longer matches. */
  public void deliverDelayed() {
    List<Runnable> due = List.copyOf(delayed);
    delayed.clear();
    due.forEach(Runnable::run);
  }

  @Override
  public Optional<StoredObject> read(String key) {
    checkUp();
    return Optional.ofNullable(objects.get(key));
  }

  @Override
  public List<StoredObject> list(String prefix) {
    checkUp();
    return objects.values().stream().filter(o -> o.key().startsWith(prefix)).toList();
  }

  @Override
  public Optional<Long> write(String key, byte[] value, long expectedVersion) {
    checkUp();
    Fault fault = nextWrite;
    nextWrite = Fault.NONE;
    switch (fault) {
      case REFUSE -> throw new PlatformUnavailableException("write refused", null);
      case DELAY -> {
        delayed.add(() -> apply(key, value, expectedVersion));
        throw new PlatformUnavailableException("write delayed", null);
      }
      case LOSE_RESPONSE -> {
        apply(key, value, expectedVersion);
        throw new PlatformUnavailableException("response lost", null);
      }
      default -> {
        return apply(key, value, expectedVersion);
      }
    }
  }

  private Optional<Long> apply(String key, byte[] value, long expectedVersion) {
    StoredObject old = objects.get(key);
    if ((old == null ? ABSENT : old.version()) != expectedVersion) {
      return Optional.empty();
    }
    writes++;
    objects.put(key, new StoredObject(key, ++lastVersion, value));
    return Optional.of(lastVersion);
  }

  @Override
  public boolean delete(String key, long expectedVersion) {
    checkUp();
    StoredObject old = objects.get(key);
    if (old == null || old.version() != expectedVersion) {
      return false;
    }
    objects.remove(key);
    return true;
  }

  @Override
  public List<StoredObject> watch(String prefix, long afterVersion, long waitMillis) {
    return list(prefix).stream().filter(o -> o.version() > afterVersion).toList();
  }

  private void checkUp() {
    if (isDown) {
      throw new PlatformUnavailableException("object API is down", null);
    }
  }
}
