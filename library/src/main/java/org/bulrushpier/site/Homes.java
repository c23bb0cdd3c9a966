package org.bulrushpier.site;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions in which a request may run and to which its prompt may be moved.
 *
 * <p>Invariant: homes without a region allow none; only {@link #EVERYWHERE} allows all, also where
 * the region is not known. Immutable and thread-safe.
 *
 * @param isEverywhere whether there is no restriction
 * @param regions the names of the regions; empty if there is no restriction, or if there is none in
 *     which the request may run
 */
public record Homes(boolean isEverywhere, Set<String> regions) {

  /** No restriction. */
  public static final Homes EVERYWHERE = new Homes(true, Set.of());

  /** Copies the regions. */
  public Homes {
    regions = isEverywhere ? Set.of() : Set.copyOf(regions);
  }

  /**
   * Creates the homes that a configuration lists.
   *
   * @param regions the names of the regions
   * @return the homes; everywhere if the list is empty
   */
  public static Homes of(Collection<String> regions) {
    return regions.isEmpty() ? EVERYWHERE : new Homes(false, Set.copyOf(regions));
  }

  /**
   * Returns the homes that satisfy these and others.
   *
   * @param other the other homes
   * @return the regions in both, which may be none
   */
  public Homes and(Homes other) {
    if (isEverywhere) {
      return other;
    }
    if (other.isEverywhere) {
      return this;
    }
    Set<String> common = new TreeSet<>(regions);
    common.retainAll(other.regions);
    return new Homes(false, common);
  }

  /**
   * Checks whether a region is a home.
   *
   * @param region the name of the region, or empty if it is not known
   * @return true if the request may run there
   */
  public boolean allows(Optional<String> region) {
    return isEverywhere || region.filter(regions::contains).isPresent();
  }
}
