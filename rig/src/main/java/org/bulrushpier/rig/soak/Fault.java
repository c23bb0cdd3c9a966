package org.bulrushpier.rig.soak;

import org.bulrushpier.rig.gateway.ReplicaFake.Behaviour;
import org.bulrushpier.rig.gateway.ReplicaFake.OrderBehaviour;

/**
 * A fault or a change that a soak plays. Instances, engines and replicas are given by their index;
 * the replicas are the engines followed by the plain services. Immutable and thread-safe.
 */
sealed interface Fault {

  /** An operator requests the next version of the weights. */
  record RequestVersion() implements Fault {}

  /** An operator stores another version of the configuration. */
  record Configure(long timeoutMillis, long idleTimeoutMillis) implements Fault {}

  /** An operator evacuates a failure domain for some time, also while the store is away. */
  record Evacuate(String domain, long millis) implements Fault {}

  /** Other software writes an entry among those of the replicas and removes it later. */
  record WriteForeignEntry(String entry, long millis) implements Fault {}

  /** Other software overwrites the entry of a replica with one that lacks a field. */
  record ReplaceEntry(int replica, String missingField) implements Fault {}

  /** A replica says that it leaves, and is ready again some time later. */
  record Leave(int replica, long millis) implements Fault {}

  /** A replica sends nothing for some time and goes on, which is no fault of its own. */
  record FallSilent(int replica, long millis) implements Fault {}

  /** An engine handles orders in the given way for some time. */
  record WithholdOrders(int engine, OrderBehaviour behaviour, long millis) implements Fault {}

  /** An instance gets the signal TERM or KILL and is started again some time after its end. */
  record Restart(int instance, String signal, long downMillis) implements Fault {}

  /** An instance is stopped and continued by signals. */
  record Pause(int instance, long millis) implements Fault {}

  /** The metadata store answers all calls with an error for some time. */
  record StoreDown(long millis) implements Fault {}

  /** Bytes to or from the metadata store are held back or delayed for some time. */
  record ImpairLink(int instance, LinkFault link, long millis) implements Fault {}

  /** The connections of an instance to the metadata store are reset. */
  record ResetLink(int instance) implements Fault {}

  /** The open connections of an instance to the metadata store fall silent; new ones work. */
  record SilenceLink(int instance) implements Fault {}

  /** Callers send calls with long bodies to an instance, all at once. */
  record SendLongBodies(int instance, int calls, int bytes) implements Fault {}

  /** A replica handles calls in the given way for some time. */
  record Misbehave(int replica, Behaviour behaviour, long millis) implements Fault {}

  /** An engine works slowly for some time. */
  record SlowDown(int engine, long millis) implements Fault {}

  /**
   * Calls come at all instances whose prompts have a part that makes engines crash. Nothing is
   * played while another such part is in use.
   */
  record Poison(long gapMillis, long millis) implements Fault {}

  /** An engine crashes and is back some time later as another incarnation, which is cold. */
  record Crash(int engine, long awayMillis) implements Fault {}

  /**
   * An engine turns cold for some time without a restart. Nothing is played if the store is down.
   */
  record TurnCold(int engine, long millis) implements Fault {}

  /** A replica closes all its connections. */
  record DropConnections(int replica) implements Fault {}

  /** What happens to the bytes between an instance and the metadata store. */
  record LinkFault(boolean cutsToStore, boolean cutsFromStore, boolean delays) {}
}
