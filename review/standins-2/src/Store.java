import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store: lists, watches and conditional writes. */
final class Store implements AutoCloseable {

  private record Entry(long revision, String spec) {}

  private record Change(long revision, String kind, String json) {}

  private static final Pattern WATCH = Pattern.compile("watch=(\\d+)&wait_ms=(\\d+)");
  private static final Pattern AFTER = Pattern.compile("after=([^&]+)");
  private static final Pattern REVISION = Pattern.compile("\"revision\":(\\d+)");
  private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]*)\"");

  private static final int PAGE_BYTES = 1_048_576;
  private static final int PAGE_ITEMS = 500;

  private final TreeMap<String, Entry> objects = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Http.Server server;
  private long revision = 1;

  Store() throws IOException {
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Writes an object; returns the revision. */
  synchronized long put(String kind, String name, String spec) {
    String key = kind + "/" + name;
    Entry known = objects.get(key);
    if (known != null && known.spec.equals(spec)) {
      return known.revision;
    }
    revision++;
    objects.put(key, new Entry(revision, spec));
    changes.add(new Change(revision, kind, event(name, revision, spec, false)));
    notifyAll();
    return revision;
  }

  synchronized void remove(String kind, String name) {
    Entry known = objects.remove(kind + "/" + name);
    if (known != null) {
      revision++;
      changes.add(new Change(revision, kind, event(name, revision, known.spec, true)));
      notifyAll();
    }
  }

  private static String object(String name, long revision, String spec) {
    return "{\"metadata\":{\"name\":\""
        + name
        + "\",\"revision\":"
        + revision
        + ",\"created_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":"
        + spec
        + ",\"status\":null}";
  }

  private static String event(String name, long revision, String spec, boolean isRemoved) {
    return "{\"removed\":" + isRemoved + ",\"object\":" + object(name, revision, spec) + "}";
  }

  /** The way of one machine to the store, which can be cut. */
  final class Link implements AutoCloseable {
    private final Http.Server server;
    private volatile boolean isCut;

    private Link() throws IOException {
      server = new Http.Server(this::pass);
    }

    String address() {
      return server.address();
    }

    void cut(boolean cut) {
      isCut = cut;
    }

    private void pass(Http.Conn conn, Http.Head head) throws IOException {
      if (!isCut) {
        handle(conn, head, () -> isCut);
      }
      while (isCut) {
        try {
          Thread.sleep(20);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
    }

    @Override
    public void close() {
      server.close();
    }
  }

  Link link() throws IOException {
    return new Link();
  }

  /** Returns the spec of an object, or an empty text. */
  synchronized String spec(String kind, String name) {
    Entry known = objects.get(kind + "/" + name);
    return known == null ? "" : known.spec;
  }

  private void handle(Http.Conn conn, Http.Head head) throws IOException {
    handle(conn, head, () -> false);
  }

  private void handle(Http.Conn conn, Http.Head head, BooleanSupplier isCut) throws IOException {
    String body = new String(conn.readBody(head), StandardCharsets.UTF_8);
    String target = head.target();
    String path = target.split("\\?")[0].substring("/objects/".length());
    String kind = path.split("/")[0];
    Matcher watch = WATCH.matcher(target);
    if (head.method().equals("GET") && watch.find()) {
      String events = watch(kind, number(watch, 1), number(watch, 2));
      if (isCut.getAsBoolean()) {
        conn.close();
      } else {
        conn.respond(200, json(), events);
      }
    } else if (head.method().equals("GET")) {
      Matcher after = AFTER.matcher(target);
      conn.respond(200, json(), list(kind, after.find() ? after.group(1) : ""));
    } else {
      write(conn, kind, path, body);
    }
  }

  private static String json() {
    return "Content-Type: application/json\r\n";
  }

  private static long number(Matcher matcher, int group) {
    return Long.parseLong(matcher.group(group));
  }

  /** Returns a page of the objects after a name, at least one object and about 1 MB at most. */
  private synchronized String list(String kind, String after) {
    List<String> items = new ArrayList<>();
    int length = 0;
    boolean hasMore = false;
    for (Map.Entry<String, Entry> e : objects.tailMap(kind + "/" + after, false).entrySet()) {
      if (!e.getKey().startsWith(kind + "/")) {
        break;
      }
      String name = e.getKey().substring(kind.length() + 1);
      String item = object(name, e.getValue().revision, e.getValue().spec);
      if (!items.isEmpty() && length + item.length() > PAGE_BYTES || items.size() == PAGE_ITEMS) {
        hasMore = true;
        break;
      }
      items.add(item);
      length += item.length();
    }
    return "{\"items\":["
        + String.join(",", items)
        + "],\"has_more\":"
        + hasMore
        + ",\"current_rev\":"
        + revision
        + "}";
  }

  private synchronized String watch(String kind, long after, long waitMillis) {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (Change change : changes) {
        if (change.revision > after && change.kind.equals(kind)) {
          events.add(change.json);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return "{\"events\":[" + String.join(",", events) + "],\"current_rev\":" + revision + "}";
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return "{\"events\":[],\"current_rev\":" + revision + "}";
      }
    }
  }

  private synchronized void write(Http.Conn conn, String kind, String path, String body)
      throws IOException {
    Matcher named = NAME.matcher(body);
    String name = path.contains("/") ? path.split("/")[1] : named.find() ? named.group(1) : "";
    Matcher expected = REVISION.matcher(body);
    long wanted = expected.find() ? number(expected, 1) : 0;
    Entry known = objects.get(kind + "/" + name);
    if (known == null ? wanted > 0 : known.revision != wanted) {
      String found = known == null ? "{}" : object(name, known.revision, known.spec);
      conn.respond(known == null ? 404 : 409, json(), found);
      return;
    }
    int spec = body.indexOf("\"spec\":") + "\"spec\":".length();
    long written = put(kind, name, body.substring(spec, body.length() - 1));
    conn.respond(200, json(), object(name, written, body.substring(spec, body.length() - 1)));
  }

  @Override
  public void close() {
    server.close();
  }
}
