package org.bulrushpier.limit;

import org.bulrushpier.Customer;

/**
 * The permission to run a single request, which must be released exactly once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param customer the customer
 * @param grantedAtMillis the time at which it was granted
 */
public record Permit(Customer customer, long grantedAtMillis) {}
