package org.bulrushpier.placing;

/**
 * Namespace under which an engine or a store caches prompt parts, so that only prompts that may use
 * a part can find it.
 *
 * <p>Parts computed with different weight versions never share a salt. Neither do the parts of an
 * isolated customer and those of any other customer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name of the model
 * @param version the version of its weights
 * @param customer the isolated customer, or empty for parts shared between customers
 */
public record CacheSalt(String model, int version, String customer) {

  private static final char SEPARATOR = '/';

  /** Returns the text form, {@code model/version/customer}. */
  public String text() {
    return model + SEPARATOR + version + SEPARATOR + customer;
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
