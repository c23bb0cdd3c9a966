package org.bulrushpier.placing;

/**
 * Namespace under which an engine or a store caches prompt parts, so that only prompts that may use
 * a part can find it.
 *
 * <p>Parts computed with different weight versions never share a salt. Neither do the parts of
 * customers with different namespaces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name of the model
 * @param version the version of its weights
 * @param namespace the namespace of the customers that share the parts, see {@link
 *     org.bulrushpier.site.CacheNamespaces}
 */
public record CacheSalt(String model, int version, String namespace) {

  private static final char SEPARATOR = '/';

  /** Returns the text form, {@code model/version/namespace}. */
  public String text() {
    return model + SEPARATOR + version + SEPARATOR + namespace;
  }

  /**
   * Checks whether a salt belongs to outdated weights of a model.
   *
   * @param text the text form of a salt
   * @param model the name of the model
   * @param version the version in use
   * @return true if no prompt can use the parts under this salt any more
   */
  public static boolean isOutdated(String text, String model, int version) {
    if (!text.startsWith(model + SEPARATOR)) {
      return false;
    }
    int end = text.indexOf(SEPARATOR, model.length() + 1);
    String number = end < 0 ? "" : text.substring(model.length() + 1, end);
    return number.matches("[0-9]{1,9}") && Integer.parseInt(number) < version;
  }
}
