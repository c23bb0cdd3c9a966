package org.bulrushpier.platform;

import java.util.List;

/**
 * The platform's list of live and terminating instances, which may lag behind their actual state.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface InstanceList {

  /**
   * Reads the list.
   *
   * @return the instances, in no particular order
   * @throws PlatformUnavailableException if the platform did not answer
   */
  List<ListedInstance> instances();
}
