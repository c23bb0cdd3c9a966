package org.bulrushpier.platform;

import java.util.List;
import java.util.Optional;

/**
 * The platform's object API: versioned objects with conditional updates and watches.
 *
 * <pre>{@code
 * Optional<Long> version = api.write("settings/site", bytes, ObjectApi.ABSENT);
 * }</pre>
 *
 * <p>Versions are positive and increase with every write to any object of the store.
 * Implementations are thread-safe. Every method throws {@link PlatformUnavailableException} if the
 * platform does not answer; a write may then already have taken effect or may still do so later.
 */
public interface ObjectApi {

  /** The expected version for creating an object that must not exist yet. */
  long ABSENT = 0;

  /**
   * Reads an object.
   *
   * @param key the key of the object
   * @return the object, or empty if it does not exist
   */
  Optional<StoredObject> read(String key);

  /**
   * Reads all objects whose keys start with a prefix.
   *
   * @param prefix the prefix
   * @return the objects, sorted by key
   */
  List<StoredObject> list(String prefix);

  /**
   * Writes an object if its version is the expected one.
   *
   * @param key the key of the object
   * @param value the new value, at most one megabyte
   * @param expectedVersion the version the object must have, or {@link #ABSENT}
   * @return the new version, or empty if the object has another version
   */
  Optional<Long> write(String key, byte[] value, long expectedVersion);

  /**
   * Deletes an object if its version is the expected one.
   *
   * @param key the key of the object
   * @param expectedVersion the version the object must have
   * @return true if the object was deleted, false if it has another version or does not exist
   */
  boolean delete(String key, long expectedVersion);

  /**
   * Waits for changes after a given version. A long poll counts as a single API call.
   *
   * @param prefix the prefix of the keys
   * @param afterVersion the version after which changes are returned
   * @param waitMillis the maximum time to wait for a change, in milliseconds
   * @return the changed objects, sorted by version; empty if there was no change in this time
   */
  List<StoredObject> watch(String prefix, long afterVersion, long waitMillis);
}
