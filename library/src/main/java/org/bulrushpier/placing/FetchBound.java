package org.bulrushpier.placing;

/** Whether parts of a prompt may be fetched from stores that free parts when they are told to. */
@FunctionalInterface
public interface FetchBound {

  /** Lets all parts be fetched. */
  FetchBound NONE = (model, version, nowMillis) -> true;

  /**
   * Checks whether a fetch may begin.
   *
   * @param model the name of the model
   * @param version the version of the weights that the parts were computed with
   * @param nowMillis the current monotonic time, in milliseconds
   * @return true if no instance frees the parts before the fetch has ended
   */
  boolean mayFetch(String model, int version, long nowMillis);
}
