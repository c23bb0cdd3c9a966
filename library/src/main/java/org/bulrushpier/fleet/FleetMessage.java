package org.bulrushpier.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bulrushpier.poison.CrashKnowledge;

/**
 * A datagram between two instances of a site. Datagrams may be lost, duplicated or reordered.
 *
 * <p>Implementations are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetMessage.Load.class, name = "l"),
  @JsonSubTypes.Type(value = FleetMessage.Members.class, name = "m"),
  @JsonSubTypes.Type(value = FleetMessage.WeightQuestion.class, name = "q"),
  @JsonSubTypes.Type(value = FleetMessage.WeightAnswer.class, name = "a"),
  @JsonSubTypes.Type(value = FleetMessage.Crashes.class, name = "c"),
  @JsonSubTypes.Type(value = FleetMessage.Paces.class, name = "p")
})
public sealed interface FleetMessage {

  /**
   * The requests that the sender has in flight and the copies of runs that it has ordered, which
   * replace those of its earlier messages.
   *
   * @param startMillis the wall-clock time at which the sender started, in Unix milliseconds
   * @param sequence the number of the message since the start of the sender
   * @param upstreams the load on each upstream with requests in flight or copies
   * @param domain the name of the sender's failure domain, or empty if an older sender does not
   *     tell it
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Load(long startMillis, long sequence, List<UpstreamLoad> upstreams, String domain)
      implements FleetMessage {

    /** Copies the list. */
    public Load {
      upstreams = List.copyOf(upstreams);
      domain = domain == null ? "" : domain;
    }
  }

  /**
   * Instances that the sender has heard from recently.
   *
   * @param isReplyExpected whether the receiver should answer with the instances that it knows
   * @param addresses their addresses as IP:port
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Members(boolean isReplyExpected, List<String> addresses) implements FleetMessage {

    /** Copies the list. */
    public Members {
      addresses = List.copyOf(addresses);
    }
  }

  /**
   * Asks when the known weight versions were requested.
   *
   * @param id the number of the question, which the answer repeats
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record WeightQuestion(long id) implements FleetMessage {}

  /**
   * Tells when the weight versions that the sender knows were requested.
   *
   * @param id the number of the question
   * @param ages the versions with their ages at the time of the answer
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record WeightAnswer(long id, List<WeightAge> ages) implements FleetMessage {

    /** Copies the list. */
    public WeightAnswer {
      ages = List.copyOf(ages);
    }
  }

  /**
   * Tells what the sender knows of crashes and of prompt parts that crash engines.
   *
   * @param knowledge the knowledge
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Crashes(CrashKnowledge knowledge) implements FleetMessage {}

  /**
   * Tells what the sender has found about replicas that have just started, which replaces what it
   * told about them before.
   *
   * @param replicas the replicas
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Paces(List<PaceReport> replicas) implements FleetMessage {

    /** Copies the list. */
    public Paces {
      replicas = List.copyOf(replicas);
    }
  }
}
