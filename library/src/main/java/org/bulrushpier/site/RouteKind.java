package org.bulrushpier.site;

/** What a route's calls promise. Immutable and thread-safe. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT,
  /** May run once at most. */
  ONCE,
  /** Answers with a stream of events; may run once at most unless it may be resumed. */
  STREAM
}
