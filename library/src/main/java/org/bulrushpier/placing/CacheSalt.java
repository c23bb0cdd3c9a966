package org.bulrushpier.placing;

/**
 * The text under which an engine or store keeps cache parts, so that parts are found only by
 * prompts that may use them.
 *
 * <p>Parts made under different weights never share a salt, nor do those of an isolated customer
 * and anybody else's. Immutable and thread-safe.
 *
 * @param model the model
 * @param version the version of its weights
 * @param customer the isolated customer, or empty for parts that customers share
 */
public record CacheSalt(String model, int version, String customer) {

  private static final char SEPARATOR = '/';

  /**
   * Returns the text.
   *
   * @return model, version and customer
   */
  public String text() {
    return model + SEPARATOR + version + SEPARATOR + customer;
  }

  /**
   * Tells whether a text stands for older weights of a model.
   *
   * @param text a salt's text
   * @param model the model
   * @param version the version in use
   * @return true if no prompt can use its parts any more
   */
  public static boolean isOlder(String text, String model, int version) {
    if (!text.startsWith(model + SEPARATOR)) {
      return false;
    }
    int end = text.indexOf(SEPARATOR, model.length() + 1);
    String number = end < 0 ? "" : text.substring(model.length() + 1, end);
    return number.matches("[0-9]{1,9}") && Integer.parseInt(number) < version;
  }
}
