package org.bulrushpier.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushpier.platform.ListedInstance;
import org.junit.jupiter.api.Test;

class PeerTableTest {

  private long now = 1_000_000;
  private final PeerTable table = PeerTable.of("self", "near", () -> now);

  private static PeerMessage.Heartbeat heartbeat(String name, String domain, boolean isLeaving) {
    return new PeerMessage.Heartbeat(name, domain, isLeaving, true, 1, List.of());
  }

  private static ListedInstance listed(String name, String domain) {
    return new ListedInstance(name, "entry", "10.0.0.1:1", "10.0.0.1:2", domain, false);
  }

  @Test
  void peerIsLiveWhileHeartbeatsArrive() {
    table.recordHeartbeat(heartbeat("a", "near", false));
    assertThat(table.live()).containsExactly("a", "self");
    now += PeerTable.HEARTBEAT_TIMEOUT_MILLIS + 1;
    assertThat(table.live()).containsExactly("self");
  }

  @Test
  void peerWithoutAnyHeartbeatIsNotLiveAfterTimeout() {
    table.updateFromList(List.of(listed("a", "near")));
    assertThat(table.live()).contains("a");
    now += PeerTable.HEARTBEAT_TIMEOUT_MILLIS + 1;
    assertThat(table.live()).doesNotContain("a");
    assertThat(table.peers()).hasSize(1);
  }

  @Test
  void silentPeerIsKeptUntilRemovedFromTheList() {
    table.updateFromList(List.of(listed("a", "near")));
    table.recordHeartbeat(heartbeat("a", "near", false));
    now += PeerTable.HEARTBEAT_TIMEOUT_MILLIS + 1;
    table.updateFromList(List.of(listed("a", "near")));
    assertThat(table.peers()).hasSize(1);
    table.updateFromList(List.of());
    assertThat(table.peers()).isEmpty();
  }

  @Test
  void contactRemovedFromTheListIsKeptAsLeaving() {
    table.addContact("a", "10.0.0.1:2", "near");
    now += PeerTable.HEARTBEAT_TIMEOUT_MILLIS + 1;
    table.updateFromList(List.of());
    assertThat(table.peers()).singleElement().matches(PeerTable.PeerSnapshot::isLeaving);
    table.recordHeartbeat(heartbeat("a", "near", false));
    assertThat(table.live()).contains("a");
  }

  @Test
  void peerWithFailedConnectionIsNotLiveUntilNextHeartbeat() {
    table.recordHeartbeat(heartbeat("a", "near", false));
    table.recordConnectionFailure("a");
    assertThat(table.live()).doesNotContain("a");
    table.recordHeartbeat(heartbeat("a", "near", false));
    assertThat(table.live()).contains("a");
  }

  @Test
  void leavingPeerIsNotLive() {
    table.recordHeartbeat(heartbeat("a", "near", true));
    assertThat(table.live()).doesNotContain("a");
  }

  @Test
  void onlyEntriesThatReachThePlatformOwnShards() {
    table.recordHeartbeat(heartbeat("a", "near", false));
    table.recordHeartbeat(new PeerMessage.Heartbeat("b", "near", false, false, 1, List.of()));
    assertThat(table.writers(true)).containsExactly("a", "self");
    assertThat(table.writers(false)).containsExactly("a");
    table.recordConnectionFailure("a");
    assertThat(table.writers(false)).containsExactly("self");
  }

  @Test
  void targetsInAnotherDomainAreSpreadOverItsPeers() {
    Map<String, Integer> timesSelected = new HashMap<>();
    for (int entry = 0; entry < 55; entry++) {
      PeerTable one = PeerTable.of("near-" + entry, "near", () -> now);
      for (int i = 0; i < 55; i++) {
        one.addContact("far-" + i, "10.0.0.1:2", "far");
      }
      one.heartbeatTargets().forEach(peer -> timesSelected.merge(peer.name(), 1, Integer::sum));
    }
    assertThat(timesSelected.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(110);
    assertThat(timesSelected.values()).allMatch(times -> times <= 10);
  }

  @Test
  void targetsAreTheOwnDomainAndTwoPeersInEachOther() {
    for (int i = 0; i < 10; i++) {
      table.addContact("near-" + i, "10.0.0.1:2", "near");
      table.addContact("far-" + i, "10.0.0.1:2", "far");
      table.addContact("farther-" + i, "10.0.0.1:2", "farther");
    }
    assertThat(table.heartbeatTargets()).hasSize(14);
    assertThat(table.liveInDomain()).hasSize(11);
  }
}
