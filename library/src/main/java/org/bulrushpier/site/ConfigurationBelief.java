package org.bulrushpier.site;

import java.util.Optional;
import org.bulrushpier.Moment;

/**
 * The newest configuration that this instance knows, and how long ago it was certainly the newest.
 *
 * <p>Invariants: the version never goes down; the proof is the moment at which a call was sent that
 * later showed this version to be the newest, so its age is never understated. Not thread-safe.
 */
public final class ConfigurationBelief {

  private Configuration configuration;
  private Moment proof;

  /**
   * Takes a configuration that was read.
   *
   * @param read the configuration
   * @param sent when the call that read it was sent
   * @return true if it is newer than the one known so far
   */
  public boolean accept(Configuration read, Moment sent) {
    boolean isNewer = configuration == null || read.version() > configuration.version();
    if (isNewer) {
      configuration = read;
    }
    if (read.version() >= configuration.version()) {
      confirm(sent);
    }
    return isNewer;
  }

  /**
   * Takes note that no newer configuration existed.
   *
   * @param sent when the call that showed it was sent
   */
  public void confirm(Moment sent) {
    if (configuration != null
        && (proof == null || sent.monotonicMillis() > proof.monotonicMillis())) {
      proof = sent;
    }
  }

  /**
   * Returns the newest configuration known.
   *
   * @return the configuration, or empty before the first was read
   */
  public Optional<Configuration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /**
   * Returns the age of the proof.
   *
   * @param now the current moment
   * @return milliseconds, or {@link Long#MAX_VALUE} without a configuration
   */
  public long ageMillis(Moment now) {
    return proof == null ? Long.MAX_VALUE : proof.ageMillis(now);
  }
}
