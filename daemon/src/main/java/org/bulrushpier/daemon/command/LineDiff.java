package org.bulrushpier.daemon.command;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes the difference of two texts by lines, using their longest common subsequence.
 *
 * <p>Stateless and thread-safe.
 */
final class LineDiff {

  private LineDiff() {}

  /**
   * Returns removed lines prefixed with a minus and added lines prefixed with a plus, each with its
   * line number.
   */
  static List<String> of(List<String> before, List<String> after) {
    int[][] commonLengths = commonLengths(before, after);
    List<String> lines = new ArrayList<>();
    int i = 0;
    int j = 0;
    while (i < before.size() || j < after.size()) {
      boolean isSame = i < before.size() && j < after.size() && before.get(i).equals(after.get(j));
      if (isSame) {
        i++;
        j++;
      } else if (j >= after.size()
          || (i < before.size() && commonLengths[i + 1][j] >= commonLengths[i][j + 1])) {
        lines.add("-" + (i + 1) + " " + before.get(i));
        i++;
      } else {
        lines.add("+" + (j + 1) + " " + after.get(j));
        j++;
      }
    }
    return lines;
  }

  private static int[][] commonLengths(List<String> before, List<String> after) {
    int[][] commonLengths = new int[before.size() + 1][after.size() + 1];
    for (int i = before.size() - 1; i >= 0; i--) {
      for (int j = after.size() - 1; j >= 0; j--) {
        commonLengths[i][j] =
            before.get(i).equals(after.get(j))
                ? commonLengths[i + 1][j + 1] + 1
                : Math.max(commonLengths[i + 1][j], commonLengths[i][j + 1]);
      }
    }
    return commonLengths;
  }
}
