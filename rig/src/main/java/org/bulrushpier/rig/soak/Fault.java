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
  record Configure() implements Fault {}

  /** An engine handles orders in the given way for some time. */
  record WithholdOrders(int engine, OrderBehaviour behaviour, long millis) implements Fault {}

  /** An instance gets the signal TERM or KILL and is started again some time after its end. */
  record Restart(int instance, String signal, long downMillis) implements Fault {}

  /** An instance is stopped and continued by signals. */
  record Pause(int instance, long millis) implements Fault {}

  /** The metadata store answers all calls with an error for some time. */
  record StoreDown(long millis) implements Fault {}

  /** The link of an instance to the metadata store is impaired for some time. */
  record ImpairLink(int instance, Impairment impairment, long millis) implements Fault {}

  /** A replica handles calls in the given way for some time. */
  record Misbehave(int replica, Behaviour behaviour, long millis) implements Fault {}

  /** An engine works slowly for some time. */
  record SlowDown(int engine, long millis) implements Fault {}

  /** A replica closes all its connections. */
  record DropConnections(int replica) implements Fault {}

  /** The impairments of a link to the metadata store. */
  enum Impairment {
    /** Bytes in both directions are held back. */
    SILENT(true, true),
    /** Bytes to the store are held back. */
    CUT_TO_STORE(true, false),
    /** Bytes from the store are held back. */
    CUT_FROM_STORE(false, true),
    /** Each direction has an additional latency. */
    SLOW(false, false),
    /** All connections are reset once. */
    RESET(false, false);

    private final boolean cutsToStore;
    private final boolean cutsFromStore;

    Impairment(boolean cutsToStore, boolean cutsFromStore) {
      this.cutsToStore = cutsToStore;
      this.cutsFromStore = cutsFromStore;
    }

    boolean cutsToStore() {
      return cutsToStore;
    }

    boolean cutsFromStore() {
      return cutsFromStore;
    }
  }
}
