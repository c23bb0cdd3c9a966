import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration isolates a tenant whose prompts others have shared; they go on with its cache. */
public final class Isolation extends Case {

  private static final int CONFIG_APPLY_MILLIS = 2_000;

  /** Time after the bound before the first judged request. */
  private static final int MARGIN_MILLIS = 2_000;

  private static final int REQUESTS = 6;
  private static final String SHARED = "5c1e07a2:800,91bd3f06:410";

  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();
  private volatile boolean isIsolated;

  @Override
  boolean play() throws Exception {
    try (Store store = new Store()) {
      store.put("config", "main", configuration(1, false));
      store.put("versions", "m0", "{\"model\":\"m0\",\"version\":1}");
      List<Engine> engines = new ArrayList<>();
      for (int i = 1; i <= 2; i++) {
        engines.add(new Engine("i-" + i, "modelos", store, this::ran));
      }
      try (Gateway gateway = Gateway.start("front-norte-1", store.address(), scratch)) {
        send(gateway, "surco", "a");
        if (isTrouble) {
          store.put("config", "main", configuration(2, true));
          record.add("config   version 2, in which surco is isolated, is acknowledged");
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
        isIsolated = isTrouble;
        send(gateway, "comas", "b");
      }
      for (Engine engine : engines) {
        engine.close();
      }
    }
    if (ran.get() != 2 * REQUESTS) {
      throw new Gateway.CannotRun(ran.get() + " of " + 2 * REQUESTS + " requests have run");
    }
    record.add("total    %d uses of an isolated tenant's cache by another tenant", foreign.get());
    return foreign.get() == 0;
  }

  private static String configuration(int version, boolean isIsolated) {
    return """
        {"version":%d,
         "routes":[{"name":"veredicto","host":"lima","path_prefix":"/veredicto/",
           "kind":"streaming","timeout_ms":5000,"goal_ms":600,"priority":0,"service":"modelos",
           "max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":300}],
         "services":[{"name":"modelos","health_path":"/health","max_conns":300,"protocol":"h1",
           "engine":{"slots":8,"kv_capacity":50000,"kv_bytes":131072,"link_mbps":130000.0,
             "managed":true,"models":[{"name":"m0"}]}}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
           "idle_timeout_ms":15000},
         "tenants":[
           {"name":"surco","api_keys":["key-surco"],"priority":1,"isolated":%b},
           {"name":"comas","api_keys":["key-comas"],"priority":1,"isolated":false}]}
        """
        .formatted(version, isIsolated);
  }

  private void ran(Engine engine, Http.Request request, List<Engine.Use> uses) {
    ran.incrementAndGet();
    String tenant = request.header("Tenant");
    record.add(
        "run      %s of %s at %s under salt '%s' uses %s",
        request.header("Attempt-Id"), tenant, engine.id, request.header("Cache-Salt"), uses);
    for (Engine.Use use : uses) {
      if (isIsolated && !use.maker().equals(tenant)) {
        foreign.incrementAndGet();
        record.add("foreign  part %s of isolated %s is used by %s", use.part(), use.maker(), tenant);
      }
    }
  }

  private void send(Gateway gateway, String tenant, String prefix) throws Exception {
    try (Http.Connection connection = Http.Connection.open(gateway.callers, 6_000)) {
      for (int i = 1; i <= REQUESTS; i++) {
        String id = prefix + i;
        record.add("sent     %s by %s", id, tenant);
        Http.Response response =
            connection.exchange(
                "POST",
                "/veredicto/a",
                Map.of(
                    "Host", "lima",
                    "Attempt-Id", id,
                    "Deadline-Ms", "5000",
                    "Authorization", "Bearer key-" + tenant,
                    "Model", "m0",
                    "Token-Usage", "1310,3",
                    "Prefix-Hash", SHARED + "," + prefix + "0" + i + ":100"),
                "prompt".getBytes(StandardCharsets.UTF_8));
        record.add("answered %s: %d %s", id, response.status(), response.failure());
      }
    }
  }
}
