import java.util.concurrent.atomic.AtomicInteger;

/** Requests whose prompts have very many parts, inside the limit on heads, beside ordinary ones. */
final class Case12 {
  private static final int REQUESTS = 600;
  private static final int HEADER_BYTES = 15_000;
  private static final int FEW_PARTS = 3;
  private static final int ORDINARY = 12;

  private Case12() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, Case12::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Store store = rig.add(new Store());
    AtomicInteger ran = new AtomicInteger();
    for (int i = 0; i < 6; i++) {
      Backend engine =
          rig.add(
              new Backend(
                  "i-pool-" + i,
                  "pool",
                  "v1",
                  64,
                  (self, request, out) -> {
                    ran.incrementAndGet();
                    Thread.sleep(10_000);
                    String event = "id: 1\ndata: text\n\n";
                    self.head(
                        out, request, 200, "Content-Type: text/event-stream\r\n", event.length());
                    Backend.write(out, event);
                    return true;
                  }));
      store.put("servers", engine.id, engine.entry("ready"));
    }
    Backend desk = rig.desk("i-desk", "desk");
    store.put("servers", desk.id, desk.entry("ready"));
    store.put(
        "op",
        "config",
        Rig.config(
            1,
            Rig.route("desk", "safe", "desk", Rig.TIMEOUT_MILLIS, "")
                + ","
                + Rig.route(
                    "brief",
                    "streaming",
                    "pool",
                    25_000,
                    ",\"use_affinity\":true,\"target_gap_ms\":1200"),
            Rig.plainService("desk")
                + ",{\"name\":\"pool\",\"connection_limit\":360,\"engine\":{\"slots\":64,"
                + "\"models\":[{\"name\":\"m1\",\"cost\":0.1}]}}",
            4 * 1024 * 1024,
            ""));
    Instance instance = rig.instance("front-a-1", store);
    Ordinary ordinary = rig.add(new Ordinary(rig, instance.callerPort(), "/desk/x"));
    ordinary.start(ORDINARY);
    Rig.sleep(6_000);
    rig.record("calm: " + ordinary.summary());

    StringBuilder parts = new StringBuilder();
    int count = 0;
    while (rig.trouble ? parts.length() < HEADER_BYTES : count < FEW_PARTS) {
      parts.append(count == 0 ? "" : ",").append(Integer.toHexString(count)).append(":1");
      count++;
    }
    String headers =
        "X-Model: m1\r\nX-Token-Counts: " + count + ",10\r\nX-Prompt-Prefix: " + parts + "\r\n";
    rig.record("prompts of " + count + " parts, " + parts.length() + " bytes of header");
    int sent = 0;
    for (int i = 0; i < REQUESTS; i++) {
      try {
        Client client = rig.add(new Client(instance.callerPort()));
        client.send("POST /brief/x", "b" + i, 25_000, headers, new byte[100]);
        sent++;
      } catch (java.io.IOException e) {
        rig.record("no channel for request b" + i + ": " + e.getMessage());
        break;
      }
      Rig.sleep(5);
    }
    rig.record(sent + " requests sent");
    for (int i = 0; i < 6; i++) {
      Rig.sleep(3_000);
      rig.record("ran " + ran + "; the process lives: " + instance.isAlive());
      rig.record(ordinary.summary());
    }
    rig.record(
        "lines of the process with OutOfMemoryError: "
            + instance.log().lines().filter(l -> l.contains("OutOfMemoryError")).count());
    boolean unanswered =
        ordinary.overdue() >= 8 && 2 * ordinary.unanswered() > ordinary.overdue();
    if (!instance.isAlive()) {
      rig.record("the process has ended by itself");
    }
    return !unanswered && instance.isAlive();
  }
}
