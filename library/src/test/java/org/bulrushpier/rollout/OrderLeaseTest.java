package org.bulrushpier.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.Moment;
import org.junit.jupiter.api.Test;

class OrderLeaseTest {

  private static final long TURN = 3_000;

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private static LeaseRecord record(String holder, boolean isReleased) {
    return new LeaseRecord(holder, 2, List.of(), List.of(), isReleased);
  }

  @Test
  void ordersAreAllowedOnlyShortlyAfterWrite() {
    OrderLease lease = OrderLease.of("a", TURN);
    assertThat(lease.mayOrder(at(0))).isFalse();

    lease.recordWrite(record("a", false), 10, at(1_000));

    assertThat(lease.mayOrder(at(1_100))).isTrue();
    assertThat(lease.mayOrder(at(1_000 + OrderLease.TERM_MILLIS))).isFalse();
    assertThat(lease.fence()).isEqualTo(10);
  }

  @Test
  void leaseWithUnreadableRecordIsTakenAfterItsTerm() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordWrite(record("a", false), 10, at(1_000));

    lease.recordRead(LeaseRecord.UNKNOWN, 20, at(2_000));

    assertThat(lease.mayOrder(at(2_001))).isFalse();
    assertThat(lease.mayTake(at(2_000 + OrderLease.TERM_MILLIS))).isFalse();
    assertThat(lease.mayTake(at(2_000 + 2 * OrderLease.TERM_MILLIS + TURN))).isTrue();
    assertThat(lease.revision()).isEqualTo(20);
  }

  @Test
  void suspensionEndsTheTerm() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordWrite(record("a", false), 10, at(1_000));

    assertThat(lease.mayOrder(new Moment(1_010, 8_010))).isFalse();
  }

  @Test
  void renewalKeepsTheFenceAndLaterAcquisitionHasLargerOne() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordWrite(record("a", false), 10, at(1_000));
    lease.recordWrite(record("a", false), 14, at(1_300));
    assertThat(lease.fence()).isEqualTo(10);

    lease.recordRead(record("b", false), 20, at(9_000));
    assertThat(lease.isHeld()).isFalse();
    lease.recordWrite(record("a", false), 31, at(20_000));

    assertThat(lease.fence()).isEqualTo(31);
  }

  @Test
  void releasedLeaseIsTakenAfterTheTurnTimeOnly() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordRead(record("b", true), 10, at(1_000));

    assertThat(lease.mayTake(at(1_000 + TURN))).isFalse();
    assertThat(lease.mayTake(at(1_000 + TURN + 500))).isTrue();
  }

  @Test
  void olderRevisionIsIgnored() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordWrite(record("a", false), 10, at(1_000));

    lease.recordRead(record("b", false), 9, at(1_050));

    assertThat(lease.isHeld()).isTrue();
  }

  /**
   * Two instances compete for one object that is changed only by conditional writes, while
   * notifications and answers arrive late. Orders of different holders must always be at least the
   * turn time apart.
   */
  @Property
  void ordersOfTwoHoldersAreTurnApart(
      @ForAll @Size(max = 200) List<@IntRange(max = 5) Integer> actions,
      @ForAll @Size(min = 200, max = 200) List<@IntRange(max = 900) Integer> pauses) {
    OrderLease[] leases = {OrderLease.of("0", TURN), OrderLease.of("1", TURN)};
    LeaseRecord stored = null;
    long revision = 0;
    List<long[]> orders = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < actions.size(); i++) {
      now += pauses.get(i);
      int instance = actions.get(i) % 2;
      OrderLease lease = leases[instance];
      switch (actions.get(i) / 2) {
        case 0 -> {
          boolean wants = lease.isHeld() || lease.mayTake(at(now));
          if (wants && lease.revision() == revision) {
            stored = record(Integer.toString(instance), false);
            lease.recordWrite(stored, ++revision, at(now));
          } else if (wants) {
            lease.recordConflict();
            lease.recordRead(stored, revision, at(now));
          }
        }
        case 1 -> {
          if (lease.mayOrder(at(now))) {
            orders.add(new long[] {instance, now, lease.fence()});
          }
        }
        default -> {
          if (stored != null) {
            lease.recordRead(stored, revision, at(now));
          }
        }
      }
    }
    for (int i = 1; i < orders.size(); i++) {
      long[] before = orders.get(i - 1);
      long[] after = orders.get(i);
      if (before[0] != after[0]) {
        assertThat(after[1] - before[1]).isGreaterThanOrEqualTo(TURN);
        assertThat(after[2]).isGreaterThan(before[2]);
      }
    }
  }

  /** Guards against two holders that both order after the store came back from a copy. */
  @Test
  void leaseOfRestoredStoreIsTakenOnlyAfterItsTerm() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordWrite(record("a", false), 90, at(1_000));

    lease.storeRestored(at(1_100));
    lease.recordRead(record("b", false), 40, at(1_200));

    assertThat(lease.mayOrder(at(1_201))).isFalse();
    assertThat(lease.revision()).isEqualTo(40);
    assertThat(lease.mayTake(at(1_200 + TURN))).isFalse();
    assertThat(lease.mayTake(at(1_200 + 2 * OrderLease.TERM_MILLIS + TURN))).isTrue();
  }

  @Test
  void lostLeaseIsTakenOnlyAfterItsTerm() {
    OrderLease lease = OrderLease.of("a", TURN);
    lease.recordRead(record("b", false), 90, at(1_000));

    lease.storeRestored(at(1_100));

    assertThat(lease.mayTake(at(1_100 + TURN))).isFalse();
    assertThat(lease.mayTake(at(1_100 + 2 * OrderLease.TERM_MILLIS + TURN))).isTrue();
    lease.recordWrite(record("a", false), 17, 4_000, at(9_000));
    assertThat(lease.fence()).isEqualTo(4_000);
  }
}
