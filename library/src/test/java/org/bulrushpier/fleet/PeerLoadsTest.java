package org.bulrushpier.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.bulrushpier.Codec;
import org.junit.jupiter.api.Test;

class PeerLoadsTest {

  private static final String A = "10.0.0.1:7000";
  private static final String B = "10.0.0.2:7000";

  private final PeerLoads loads = new PeerLoads();

  private static FleetMessage.Load load(long start, long sequence, int requests) {
    UpstreamLoad upstream =
        new UpstreamLoad("e", requests, requests * 100L, List.of(10L, 0L, 30L), requests * 7L);
    return new FleetMessage.Load(
        start, sequence, requests == 0 ? List.of() : List.of(upstream), "norte");
  }

  @Test
  void reportsOfAllInstancesAreAdded() {
    loads.record(A, load(1, 1, 2), 0);
    loads.record(B, load(1, 1, 3), 0);

    assertThat(loads.at("e", 9)).isEqualTo(new PeerLoads.Total(5, 500, 80, 0, 35));
    assertThat(loads.at("other", 9)).isEqualTo(PeerLoads.Total.NONE);
  }

  @Test
  void lessUrgentPendingTokensAreNotCounted() {
    loads.record(A, load(1, 1, 1), 0);

    assertThat(loads.at("e", 1).pendingTokens()).isEqualTo(10);
    assertThat(loads.at("e", 1).lessUrgentTokens()).isEqualTo(30);
    assertThat(loads.at("e", 2).pendingTokens()).isEqualTo(40);
    assertThat(loads.at("e", 2).lessUrgentTokens()).isZero();
  }

  @Test
  void newReportReplacesOldOneAndReorderedOneIsIgnored() {
    loads.record(A, load(1, 2, 0), 0);
    loads.record(A, load(1, 1, 7), 10);
    assertThat(loads.at("e", 0).requests()).isZero();

    loads.record(A, load(1, 3, 4), 20);
    assertThat(loads.at("e", 0).requests()).isEqualTo(4);
  }

  @Test
  void restartedInstanceReplacesItsFormerReport() {
    loads.record(A, load(1, 900, 7), 0);
    loads.record(A, load(2, 1, 1), 10);

    assertThat(loads.at("e", 0).requests()).isEqualTo(1);
  }

  /** The wall clock of an instance may have been set back before it restarted. */
  @Test
  void instanceWhoseClockWasSetBackIsHeardAgainAfterItsReportExpired() {
    loads.record(A, load(9, 1, 7), 0);
    loads.expire(PeerLoads.VALIDITY_MILLIS + 1);
    loads.record(A, load(2, 1, 1), PeerLoads.VALIDITY_MILLIS + 2);

    assertThat(loads.at("e", 0).requests()).isEqualTo(1);
  }

  @Test
  void oldReportsExpire() {
    loads.record(A, load(1, 1, 7), 0);
    loads.expire(PeerLoads.VALIDITY_MILLIS + 1);

    assertThat(loads.at("e", 0)).isEqualTo(PeerLoads.Total.NONE);
    assertThat(loads.size()).isZero();
  }

  @Test
  void implausibleReportIsIgnored() {
    loads.record(A, load(1, 1, 7), 0);
    UpstreamLoad negative = new UpstreamLoad("e", -5, 0, List.of(), 0);
    UpstreamLoad huge = new UpstreamLoad("e", 1, Long.MAX_VALUE, List.of(), 0);

    assertThat(loads.record(A, new FleetMessage.Load(1, 2, List.of(negative), "norte"), 1))
        .isFalse();
    assertThat(loads.record(A, new FleetMessage.Load(1, 2, List.of(huge), "norte"), 1)).isFalse();
    UpstreamLoad hugeCopies = new UpstreamLoad("e", 1, 1, List.of(), Long.MAX_VALUE);
    assertThat(loads.record(A, new FleetMessage.Load(1, 2, List.of(hugeCopies), "norte"), 1))
        .isFalse();
    assertThat(loads.at("e", 0).requests()).isEqualTo(7);
  }

  /** Copies are told for replicas at which the sender has no requests, too. */
  @Test
  void copiesOfInstanceThatFellSilentCountUntilItsReportExpires() {
    UpstreamLoad onlyCopies = new UpstreamLoad("holder", 0, 0, List.of(), 4_000);
    loads.record(A, new FleetMessage.Load(1, 1, List.of(onlyCopies), "norte"), 0);

    loads.expire(PeerLoads.VALIDITY_MILLIS);
    assertThat(loads.at("holder", 9)).isEqualTo(new PeerLoads.Total(0, 0, 0, 0, 4_000));
    loads.expire(PeerLoads.VALIDITY_MILLIS + 1);
    assertThat(loads.at("holder", 9)).isEqualTo(PeerLoads.Total.NONE);
  }

  /** The load on an upstream as instances without copies in their reports encode it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FormerLoad(String upstream, int requests, long memoryTokens, List<Long> pendingTokens) {}

  @Test
  void reportsWithoutCopiesAreStillRead() {
    byte[] former = Codec.messagePack().write(new FormerLoad("e", 2, 300, List.of(10L)));

    assertThat(Codec.messagePack().read(former, UpstreamLoad.class))
        .isEqualTo(new UpstreamLoad("e", 2, 300, List.of(10L), 0));
  }

  @Test
  void instancesThatKnowNoCopiesReadReportsWithThem() {
    byte[] bytes = Codec.messagePack().write(new UpstreamLoad("e", 2, 300, List.of(10L), 4_000));

    assertThat(Codec.messagePack().read(bytes, FormerLoad.class))
        .isEqualTo(new FormerLoad("e", 2, 300, List.of(10L)));
  }

  @Test
  void copiesAddFewBytesToReport() {
    byte[] without = Codec.messagePack().write(new FormerLoad("e", 2, 300, List.of(10L)));
    byte[] with =
        Codec.messagePack().write(new UpstreamLoad("e", 2, 300, List.of(10L), 1_000_000_000));

    assertThat(with.length - without.length).isLessThanOrEqualTo(5);
  }

  @Test
  void messagesSurviveEncoding() {
    FleetMessage load = load(5, 6, 7);
    FleetMessage members = new FleetMessage.Members(true, List.of(A, B));

    assertThat(Codec.messagePack().read(Codec.messagePack().write(load), FleetMessage.class))
        .isEqualTo(load);
    assertThat(Codec.messagePack().read(Codec.messagePack().write(members), FleetMessage.class))
        .isEqualTo(members);
  }
}
