package org.bulrushpier.site;

/** The execution guarantee of a route's requests. Immutable and thread-safe. */
public enum RouteKind {
  /** Idempotent: may be executed more than once. */
  IDEMPOTENT,
  /** Executed at most once. */
  ONCE,
  /** Answered with an event stream; executed at most once unless it is resumable. */
  STREAM
}
