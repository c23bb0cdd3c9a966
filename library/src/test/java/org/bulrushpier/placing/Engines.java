package org.bulrushpier.placing;

import java.util.List;
import java.util.Map;
import org.bulrushpier.Address;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.replica.ReplicaEntry;
import org.bulrushpier.replica.ReplicaTable;
import org.bulrushpier.site.Service;

/** Creates engines and cache stores for tests. */
final class Engines {

  static final Service.Engines SERVICE =
      new Service.Engines(
          "engines",
          300,
          48,
          53_000,
          131_072,
          130_000,
          true,
          false,
          List.of("m"),
          Service.ColdStart.NONE);

  private static final int FIRST_PORT = 9_000;
  private static final int PORTS = 50_000;

  private static int created;

  private Engines() {}

  static Replica engine(String id, String domain) {
    return engine(id, domain, 48);
  }

  static Replica engine(String id, String domain, int slots) {
    ReplicaTable table = new ReplicaTable();
    table.put(
        new ReplicaEntry(
            id,
            "engines",
            new Address("10.0.0.1", nextPort()),
            domain,
            slots,
            false,
            1,
            Map.of("m", 1),
            0));
    return table.find(id);
  }

  private static int nextPort() {
    return FIRST_PORT + created++ % PORTS;
  }

  static CacheStoreState store(String name, String domain, long tokens) {
    return new CacheStoreState(
        new Service.CacheStore(
            name, new Address("10.0.0.2", nextPort()), domain, tokens, 260_000, 6, true));
  }
}
