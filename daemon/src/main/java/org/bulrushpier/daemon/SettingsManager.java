package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.platform.StoredObject;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.settings.SettingsTree;
import org.bulrushpier.settings.Subtree;
import org.bulrushpier.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the current settings of this entry and writes changes to the platform.
 *
 * <p>Invariant: the version of a subtree never decreases. Thread-safe; readers take no lock.
 */
final class SettingsManager {

  /** The key prefix of the settings objects at the platform. */
  static final String PREFIX = "settings/";

  private static final Logger log = LoggerFactory.getLogger("settings");
  private static final int WRITE_ATTEMPTS = 3;

  private final ObjectApi api;
  private final Timeline timeline;
  private final AtomicReference<SettingsTree> tree = new AtomicReference<>(SettingsTree.empty());
  private final List<ChangeListener> listeners = new CopyOnWriteArrayList<>();

  SettingsManager(ObjectApi api, Timeline timeline) {
    this.api = api;
    this.timeline = timeline;
  }

  /** The platform object that holds a subtree. */
  record Stored(String text, String changeId) {}

  SettingsTree tree() {
    return tree.get();
  }

  Settings settings() {
    return tree.get().settings();
  }

  /** Notified of subtrees that took effect and of the source they came from. */
  interface ChangeListener {
    void changed(List<Subtree> newer, String source);
  }

  void onChange(ChangeListener listener) {
    listeners.add(listener);
  }

  /**
   * Puts subtrees into effect if they are newer than the current ones; returns true if anything
   * changed.
   */
  boolean accept(Collection<Subtree> subtrees, String source) {
    List<Subtree> newer = new ArrayList<>();
    synchronized (this) {
      SettingsTree before = tree.get();
      SettingsTree after = before.with(subtrees);
      if (after == before) {
        return false;
      }
      tree.set(after);
      subtrees.stream().filter(s -> isNewer(before, s)).forEach(newer::add);
    }
    for (Subtree subtree : newer) {
      log.info(
          "settings: {} version {} from {} is in effect",
          subtree.path(),
          subtree.version(),
          source);
      timeline.add("settings", subtree.path(), "version " + subtree.version() + " is in effect");
    }
    listeners.forEach(listener -> listener.changed(newer, source));
    return true;
  }

  private static boolean isNewer(SettingsTree before, Subtree subtree) {
    return before.subtree(subtree.path()).map(Subtree::version).orElse(0L) < subtree.version();
  }

  /**
   * Puts the subtrees in platform objects into effect; returns the highest object version, at least
   * the given cursor.
   */
  long acceptObjects(List<StoredObject> objects, long cursor) {
    List<Subtree> subtrees = new ArrayList<>();
    long newest = cursor;
    for (StoredObject object : objects) {
      newest = Math.max(newest, object.version());
      Stored stored = Codec.json().read(object.value(), Stored.class);
      String path = object.key().substring(PREFIX.length());
      subtrees.add(new Subtree(path, object.version(), stored.text()));
    }
    accept(subtrees, "platform");
    return newest;
  }

  /**
   * Writes a subtree to the platform and puts it into effect at this entry.
   *
   * @throws BulrushpierException with CONFLICT if the version differs, or PLATFORM_UNAVAILABLE with
   *     an unknown outcome if the change may have been accepted
   */
  Subtree change(String path, String text, long expectedVersion, String changeId) {
    byte[] value = Codec.json().write(new Stored(text, changeId));
    PlatformUnavailableException last = null;
    for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      try {
        Optional<Long> version = api.write(PREFIX + path, value, expectedVersion);
        long accepted = version.orElseGet(() -> versionOfOwnWrite(path, expectedVersion, changeId));
        Subtree subtree = new Subtree(path, accepted, text);
        accept(List.of(subtree), "operator");
        return subtree;
      } catch (PlatformUnavailableException e) {
        last = e;
      }
    }
    String message =
        "settings "
            + path
            + ": "
            + last.getMessage()
            + "; the change may have been accepted, read the subtree before retrying";
    throw BulrushpierException.unknown(ErrorCode.PLATFORM_UNAVAILABLE, message);
  }

  /**
   * Returns the version if the object was written by an earlier attempt of the same change whose
   * response was lost; otherwise accepts the object and throws CONFLICT.
   */
  private long versionOfOwnWrite(String path, long expectedVersion, String changeId) {
    Optional<StoredObject> object = api.read(PREFIX + path);
    long version = object.map(StoredObject::version).orElse(0L);
    String writer =
        object.map(o -> Codec.json().read(o.value(), Stored.class).changeId()).orElse("");
    if (writer.equals(changeId)) {
      return version;
    }
    object.ifPresent(o -> acceptObjects(List.of(o), 0));
    String message =
        "settings "
            + path
            + ": version "
            + expectedVersion
            + " was expected (current version: "
            + version
            + ")";
    throw BulrushpierException.notRun(ErrorCode.CONFLICT, message);
  }
}
