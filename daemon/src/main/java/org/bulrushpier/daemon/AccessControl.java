package org.bulrushpier.daemon;

import java.util.Optional;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Customer;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Hash;
import org.bulrushpier.Team;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.settings.Settings;

/**
 * Identifies callers by their bearer key and checks their permissions. The settings contain only
 * SHA-256 hashes of the keys.
 *
 * <p>Thread-safe and stateless.
 */
final class AccessControl {

  private static final String BEARER = "Bearer ";

  private final String rootKeySha256;

  AccessControl(String rootKeySha256) {
    this.rootKeySha256 = rootKeySha256;
  }

  /** Returns the customer whose key the call presents. */
  static Customer customer(Call call, Settings settings) {
    return settings
        .customerByKeyHash(keyHash(call))
        .orElseThrow(
            () ->
                BulrushpierException.notRun(
                    ErrorCode.BAD_KEY, "Authorization: the key does not belong to a customer"));
  }

  /**
   * Checks that the caller is an operator of the subtree at a path or of one of its parents, or
   * holds the root key.
   */
  void checkOperator(Call call, Settings settings, String path) {
    String hash = keyHash(call);
    if (hash.equals(rootKeySha256)) {
      return;
    }
    for (String at = path; !at.isEmpty(); at = parent(at)) {
      Optional<Team> team = Optional.ofNullable(settings.teams().get(at));
      if (team.isPresent() && team.get().operatorKeySha256().equals(hash)) {
        return;
      }
    }
    boolean isKnown =
        settings.teams().values().stream().anyMatch(t -> t.operatorKeySha256().equals(hash));
    throw isKnown
        ? BulrushpierException.notRun(
            ErrorCode.NOT_ALLOWED, "settings " + path + ": the subtree belongs to another team")
        : BulrushpierException.notRun(
            ErrorCode.BAD_KEY, "Authorization: the key does not belong to an operator");
  }

  /** Checks that the caller is an operator of any team or holds the root key. */
  void checkAnyOperator(Call call, Settings settings) {
    String hash = keyHash(call);
    boolean isKnown =
        hash.equals(rootKeySha256)
            || settings.teams().values().stream()
                .anyMatch(team -> team.operatorKeySha256().equals(hash));
    if (!isKnown) {
      throw BulrushpierException.notRun(
          ErrorCode.BAD_KEY, "Authorization: the key does not belong to an operator");
    }
  }

  private static String keyHash(Call call) {
    String header = call.header("Authorization").orElse("");
    if (!header.startsWith(BEARER) || header.length() == BEARER.length()) {
      throw BulrushpierException.notRun(
          ErrorCode.BAD_KEY, "Authorization: a bearer key is required");
    }
    return Hash.hex(header.substring(BEARER.length()).strip());
  }

  private static String parent(String path) {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }
}
