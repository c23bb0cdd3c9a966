package org.bulrushpier.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * An object in the log of a shard. A sealed object never changes, and its successor may exist only
 * after it has been sealed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isSealed true if no more records may be added
 * @param records the records in the order in which they took effect
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Segment(boolean isSealed, List<LedgerRecord> records) {

  static final Segment EMPTY = new Segment(false, List.of());

  Segment {
    records = List.copyOf(records);
  }

  Segment plus(List<LedgerRecord> more, boolean sealed) {
    List<LedgerRecord> all = new ArrayList<>(records);
    all.addAll(more);
    return new Segment(sealed, all);
  }
}
