package org.bulrushpier.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bulrushpier.ledger.LedgerAnswer;
import org.bulrushpier.ledger.LedgerRecord;
import org.bulrushpier.routing.EngineLoad;
import org.bulrushpier.settings.Subtree;

/**
 * The messages that entries exchange.
 *
 * <p>All kinds are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "i"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "h"),
  @JsonSubTypes.Type(value = PeerMessage.SettingsAnnouncement.class, name = "n"),
  @JsonSubTypes.Type(value = PeerMessage.SettingsRequest.class, name = "a"),
  @JsonSubTypes.Type(value = PeerMessage.SettingsResponse.class, name = "o"),
  @JsonSubTypes.Type(value = PeerMessage.LedgerRequest.class, name = "l"),
  @JsonSubTypes.Type(value = PeerMessage.LedgerResponse.class, name = "r"),
  @JsonSubTypes.Type(value = PeerMessage.LoadReports.class, name = "d"),
  @JsonSubTypes.Type(value = PeerMessage.UpstreamReport.class, name = "u")
})
public sealed interface PeerMessage {

  /**
   * The first message on every connection, which identifies the sender and the address at which it
   * accepts connections.
   *
   * @param domain the sender's failure domain
   * @param address the sender's peer address as IP:port
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Hello(String domain, String address) implements PeerMessage {}

  /**
   * A heartbeat with a digest of the settings in force and the demand of each active customer.
   *
   * @param name the name of the sender
   * @param domain the sender's failure domain
   * @param isLeaving true if the sender is shutting down
   * @param isWriting true if the sender can reach the platform, so that it may own ledger shards
   * @param settingsDigest the digest of the sender's settings versions
   * @param demands the demand of the recently active customers
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(
      String name,
      String domain,
      boolean isLeaving,
      boolean isWriting,
      long settingsDigest,
      List<Demand> demands)
      implements PeerMessage {}

  /**
   * The recent demand of a customer at the sender.
   *
   * @param customer a 32-bit hash of the customer's id
   * @param requestsPerSecond ten times the smoothed sum of the requests that arrived per heartbeat
   *     and the requests in flight, rounded, at least 1
   * @param inFlight always 0; not read by the receiver
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Demand(int customer, int requestsPerSecond, int inFlight) {}

  /**
   * Announces changed subtrees without their texts. A peer with older versions requests the texts.
   *
   * @param versions the versions in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SettingsAnnouncement(List<SubtreeVersion> versions) implements PeerMessage {}

  /**
   * Requests the subtrees that are newer than those of the sender.
   *
   * @param versions the versions in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SettingsRequest(List<SubtreeVersion> versions) implements PeerMessage {}

  /**
   * The version of a subtree that is in force at the sender.
   *
   * @param path the path of the subtree
   * @param version the version
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SubtreeVersion(String path, long version) {}

  /**
   * Transfers accepted subtrees with their texts.
   *
   * @param subtrees the subtrees
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SettingsResponse(List<Subtree> subtrees) implements PeerMessage {}

  /**
   * Requests that the owner of a ledger shard commit records.
   *
   * @param id the request id, unique at the sender
   * @param shard the number of the shard
   * @param records the records
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LedgerRequest(long id, int shard, List<LedgerRecord> records) implements PeerMessage {}

  /**
   * The response to a {@link LedgerRequest}.
   *
   * @param id the request id
   * @param answers one answer for each record
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LedgerResponse(long id, List<LedgerAnswer> answers) implements PeerMessage {}

  /**
   * The load reports of the engines that the sender polls on behalf of its peers.
   *
   * @param lines the load of each engine
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LoadReports(List<LoadReport> lines) implements PeerMessage {}

  /**
   * The load of an engine.
   *
   * @param engine the name of the engine
   * @param load the last load report of the engine
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LoadReport(String engine, EngineLoad load) {}

  /**
   * Reports that an upstream was observed shutting down or failing.
   *
   * @param upstream the name of the upstream
   * @param isLeaving true if it announced its shutdown
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record UpstreamReport(String upstream, boolean isLeaving) implements PeerMessage {}
}
