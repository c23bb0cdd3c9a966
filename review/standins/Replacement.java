import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The machine that orders new weights is removed for good, and a new one of its name comes. */
public final class Replacement extends Case {

  private static final long LEASE_MILLIS = 3_000;
  private static final int ENGINES = 4;

  /** When the new machine comes, after the old one was removed. */
  private static final long REPLACED_AFTER_MILLIS = 1_000;

  private final Map<String, Long> lastOrderMillis = new HashMap<>();
  private final Map<String, String> lastMachine = new HashMap<>();
  private String machine = "first";
  private int orders;
  private int turns;

  @Override
  boolean play() throws Exception {
    try (Store store = new Store()) {
      store.put(
          "config",
          "main",
          """
          {"version":1,
           "routes":[{"name":"veredicto","host":"lima","path_prefix":"/veredicto/",
             "kind":"streaming","timeout_ms":5000,"goal_ms":600,"priority":0,"service":"modelos",
             "max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":300}],
           "services":[{"name":"modelos","health_path":"/health","max_conns":300,"protocol":"h1",
             "engine":{"slots":8,"kv_capacity":50000,"kv_bytes":131072,"link_mbps":130000.0,
               "managed":true,"models":[{"name":"m0"}]}}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
           "tenants":[{"name":"surco","api_keys":["key-surco"],"priority":1}]}
          """);
      store.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
      List<Engine> engines = new ArrayList<>();
      for (int i = 1; i <= ENGINES; i++) {
        Engine engine = new Engine("i-" + i, "modelos", store, (e, request, uses) -> {});
        engine.setOrderListener(this::ordered);
        engines.add(engine);
      }
      Gateway old = Gateway.start("front-norte-1", store.address(), scratch);
      Thread.sleep(1_000);
      name(store, 2);
      awaitOrder();
      Thread.sleep(700);
      if (isTrouble) {
        old.close();
        record.add("removed  the machine");
        synchronized (this) {
          machine = "second";
        }
      }
      name(store, 3);
      Thread.sleep(REPLACED_AFTER_MILLIS);
      if (isTrouble) {
        record.add("started  a new machine of the same name at another address");
        Gateway.start("front-norte-1", store.address(), scratch);
      }
      Thread.sleep(6_000);
      for (Engine engine : engines) {
        engine.close();
      }
    }
    record.add("total    %d orders, %d of another holder within %d ms", orders, turns, LEASE_MILLIS);
    if (orders < 2 * ENGINES) {
      throw new Gateway.CannotRun("the weights were not rolled out");
    }
    return turns == 0;
  }

  private void name(Store store, int version) {
    store.put("versions", "m0", "{\"model\":\"m0\",\"version\":" + version + "}");
    record.add("named    version %d", version);
  }

  private synchronized void awaitOrder() throws InterruptedException {
    while (orders == 0) {
      wait();
    }
  }

  private synchronized void ordered(Engine engine, JsonNode order) {
    orders++;
    long now = record.millis();
    String before = lastMachine.put(engine.id, machine);
    Long lastMillis = lastOrderMillis.put(engine.id, now);
    boolean isTurn =
        before != null && !before.equals(machine) && now - lastMillis < LEASE_MILLIS;
    turns += isTurn ? 1 : 0;
    record.add(
        "order    at %s from the %s machine: version %d, fence %d%s",
        engine.id, machine, order.path("version").asInt(), order.path("fence").asLong(),
        isTurn ? ", " + (now - lastMillis) + " ms after one of the " + before : "");
    notifyAll();
  }
}
