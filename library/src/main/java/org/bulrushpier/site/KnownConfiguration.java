package org.bulrushpier.site;

import java.util.Optional;
import org.bulrushpier.Moment;

/**
 * The newest configuration known to this instance, and the time since it was last confirmed to be
 * the newest.
 *
 * <p>Invariants: the version never decreases; the confirmation time is the moment at which the
 * request was sent whose response showed the version to be the newest, so the age is never
 * understated.
 *
 * <p>Not thread-safe.
 */
public final class KnownConfiguration {

  private Configuration configuration;
  private Moment confirmedAt;

  /**
   * Accepts a configuration that was read. An older version than the known one is ignored.
   *
   * @param read the configuration
   * @param sentAt the moment at which the request that read it was sent
   * @return true if it is newer than the known one
   */
  public boolean accept(Configuration read, Moment sentAt) {
    boolean isNewer = configuration == null || read.version() > configuration.version();
    if (isNewer) {
      configuration = read;
    }
    if (read.version() >= configuration.version()) {
      confirm(sentAt);
    }
    return isNewer;
  }

  /**
   * Records that no newer configuration existed.
   *
   * @param sentAt the moment at which the request that showed this was sent
   */
  public void confirm(Moment sentAt) {
    if (configuration != null
        && (confirmedAt == null || sentAt.monotonicMillis() > confirmedAt.monotonicMillis())) {
      confirmedAt = sentAt;
    }
  }

  /** Returns the newest known configuration, or empty if none has been read yet. */
  public Optional<Configuration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /**
   * Returns the time since the last confirmation.
   *
   * @param now the current moment
   * @return the age in milliseconds, or {@link Long#MAX_VALUE} without a configuration
   */
  public long ageMillis(Moment now) {
    return confirmedAt == null ? Long.MAX_VALUE : confirmedAt.ageMillis(now);
  }
}
