import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A version is rolled back; then replicas of the next version start, before its order is given. */
final class UnorderedVersion {
  private static final int CLIENTS = 16;
  private static final int REPLICAS = 3;
  private static final long WATCH_MILLIS = 10_000;

  private UnorderedVersion() {}

  static boolean run(Rig rig) throws Exception {
    Store store = rig.add(new Store());
    Map<String, AtomicInteger> ran = new ConcurrentHashMap<>();
    Map<String, AtomicInteger> failed = new ConcurrentHashMap<>();
    List<Backend> v1 = replicas(rig, "v1", ran, failed);
    List<Backend> v2 = replicas(rig, "v2", ran, failed);
    List<Backend> v3 = replicas(rig, "v3", ran, failed);
    v1.forEach(b -> store.put("servers", b.id, b.entry("ready")));
    store.put(
        "op",
        "config",
        Rig.config(
            1,
            Rig.route("order", "unsafe", "desk", Rig.TIMEOUT_MILLIS, ""),
            Rig.plainService("desk"),
            65_536,
            ""));
    Instance instance = rig.instance("front-a-1", store);
    AtomicBoolean stopped = new AtomicBoolean();
    rig.add((AutoCloseable) () -> stopped.set(true));
    for (int i = 0; i < CLIENTS; i++) {
      String name = "c" + i + "-";
      Thread.ofPlatform().daemon().start(() -> send(instance, name, stopped));
    }
    Rig.sleep(5_000);
    rig.record("calm, v1 only: run " + ran + ", failed " + failed);

    if (rig.trouble) {
      v2.forEach(b -> store.put("servers", b.id, b.entry("ready")));
      store.put(
          "op", "rollout/desk", "{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":16}");
      rig.record("replicas of v2 are ready, the order to roll out v2 is acknowledged");
      for (int i = 0; i < 16 && !store.newest("status", "rollout/desk").contains("rolled"); i++) {
        Rig.sleep(1_000);
      }
      rig.record("status " + store.newest("status", "rollout/desk") + ", run " + ran);
      if (!store.newest("status", "rollout/desk").contains("rolled_back")) {
        throw new IOException("v2 was not rolled back");
      }
      Rig.sleep(3_000);
      v2.forEach(b -> store.put("servers", b.id, b.entry("draining")));
      Rig.sleep(4_000);
      v2.forEach(b -> store.drop("servers", b.id));
      rig.record("the replicas of v2 have drained and left");
    }
    Rig.sleep(6_000);
    v3.forEach(b -> store.put("servers", b.id, b.entry("ready")));
    rig.record("replicas of v3 are ready beside those of v1; no order names v3");
    Rig.sleep(WATCH_MILLIS);
    int unordered = count(ran, "v3");
    rig.record(
        "requests run by v3 within " + WATCH_MILLIS + " ms, without an order: " + unordered
            + ", failed there: " + count(failed, "v3") + "; all: run " + ran + ", failed " + failed);
    return unordered == 0;
  }

  private static int count(Map<String, AtomicInteger> counts, String version) {
    return counts.getOrDefault(version, new AtomicInteger()).get();
  }

  /** Returns replicas; all but those of v1 fail half of what they run. */
  private static List<Backend> replicas(
      Rig rig, String version, Map<String, AtomicInteger> ran, Map<String, AtomicInteger> failed)
      throws IOException {
    List<Backend> replicas = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(
          rig.add(
              new Backend(
                  "i-" + version + "-" + i,
                  "desk",
                  version,
                  6,
                  (self, request, out) -> {
                    ran.computeIfAbsent(version, v -> new AtomicInteger()).incrementAndGet();
                    Thread.sleep(30);
                    boolean bad = !version.equals("v1") && ThreadLocalRandom.current().nextBoolean();
                    if (bad) {
                      failed.computeIfAbsent(version, v -> new AtomicInteger()).incrementAndGet();
                    }
                    self.head(out, request, bad ? 500 : 200, "", 4);
                    Backend.write(out, bad ? "fail" : "good");
                    return true;
                  })));
    }
    return replicas;
  }

  private static void send(Instance instance, String name, AtomicBoolean stopped) {
    try (Client client = new Client(instance.callerPort())) {
      for (int i = 0; !stopped.get(); i++) {
        client.send("POST /order/x", name + i, Rig.TIMEOUT_MILLIS, "", new byte[10]);
        client.read(false);
        Thread.sleep(150);
      }
    } catch (IOException | InterruptedException e) {
      // The case ends.
    }
  }
}
