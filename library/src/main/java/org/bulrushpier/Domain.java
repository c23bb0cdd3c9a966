package org.bulrushpier;

/**
 * A failure domain: a part of a site that fails, or is partitioned from the rest, as a unit.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, unique in the site
 * @param region the region in which the domain is located
 */
public record Domain(String name, String region) {}
