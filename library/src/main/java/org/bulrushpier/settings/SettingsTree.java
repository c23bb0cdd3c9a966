package org.bulrushpier.settings;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushpier.Hash;

/**
 * All subtrees of the settings, with their versions.
 *
 * <pre>{@code
 * SettingsTree tree = SettingsTree.empty().with(new Subtree("site", 1, text));
 * if (tree.settings().findings().isEmpty()) {
 *   ...
 * }
 * }</pre>
 *
 * <p>Invariant: a tree returned by {@link #with} never has an older version of a subtree than the
 * tree from which it was made. Immutable and thread-safe.
 */
public final class SettingsTree {

  private static final SettingsTree EMPTY = new SettingsTree(new TreeMap<>());

  private final TreeMap<String, Subtree> subtrees;
  private final Settings settings;
  private final long digest;

  private SettingsTree(TreeMap<String, Subtree> subtrees) {
    this.subtrees = subtrees;
    this.settings = new SettingsBuilder(subtrees).build();
    this.digest = digestOf(subtrees);
  }

  /** Returns a tree without subtrees. */
  public static SettingsTree empty() {
    return EMPTY;
  }

  /**
   * Returns a tree with subtrees added or replaced. Subtrees that are not newer than those in this
   * tree are ignored.
   *
   * @param newer the subtrees, not null
   * @return the new tree, or this tree if no subtree is newer
   */
  public SettingsTree with(Collection<Subtree> newer) {
    TreeMap<String, Subtree> next = new TreeMap<>(subtrees);
    boolean changed = false;
    for (Subtree subtree : newer) {
      Subtree old = next.get(subtree.path());
      if (old == null || old.version() < subtree.version()) {
        next.put(subtree.path(), subtree);
        changed = true;
      }
    }
    return changed ? new SettingsTree(next) : this;
  }

  /**
   * Returns the tree that would result if a proposed text were accepted, for validation.
   *
   * @param path the path of the changed subtree
   * @param text the proposed text
   * @return the proposed tree, in which the changed subtree keeps its current version; it must not
   *     be put into force
   */
  public SettingsTree withProposal(String path, String text) {
    TreeMap<String, Subtree> next = new TreeMap<>(subtrees);
    long version = subtree(path).map(Subtree::version).orElse(0L);
    next.put(path, new Subtree(path, version, text));
    return new SettingsTree(next);
  }

  /**
   * Returns the typed form of this tree.
   *
   * @return the settings, never null; valid only if they have no findings
   */
  public Settings settings() {
    return settings;
  }

  /**
   * Finds a subtree.
   *
   * @param path the path
   * @return the subtree, or empty if there is none
   */
  public Optional<Subtree> subtree(String path) {
    return Optional.ofNullable(subtrees.get(path));
  }

  /**
   * Returns all subtrees.
   *
   * @return an unmodifiable view, sorted by path
   */
  public Collection<Subtree> subtrees() {
    return java.util.Collections.unmodifiableCollection(subtrees.values());
  }

  /**
   * Returns the versions of all subtrees by path.
   *
   * @return a new map, sorted by path
   */
  public Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    subtrees.forEach((path, subtree) -> versions.put(path, subtree.version()));
    return versions;
  }

  /**
   * Returns a digest of all paths and versions. Trees with different versions have different
   * digests, except for hash collisions.
   *
   * @return the 64-bit digest
   */
  public long digest() {
    return digest;
  }

  /**
   * Returns the largest version of any subtree.
   *
   * @return the version, or 0 if the tree is empty
   */
  public long newestVersion() {
    return subtrees.values().stream().mapToLong(Subtree::version).max().orElse(0);
  }

  private static long digestOf(TreeMap<String, Subtree> subtrees) {
    StringBuilder text = new StringBuilder();
    subtrees.forEach((path, s) -> text.append(path).append('=').append(s.version()).append(' '));
    return Hash.hash64(text.toString());
  }
}
