import java.io.IOException;
import java.nio.file.Files;
import java.util.Locale;

/**
 * A store that moves to another address; the settings file names it, and SIGHUP says so.
 *
 * <p>The store at the new address goes on with the same records at the same offsets. All that the
 * operator and the replicas write after the move is written and acknowledged there.
 */
final class StoreMove {
  /** The bound of the configuration, and half a second more. */
  private static final long PROPAGATION_MILLIS = 3_500;

  /** The stable window, and half a second more. */
  private static final long CALM_MILLIS = 4_500;

  private static final int ROUNDS = 10;
  private static final int BODY_BYTES = 4 * 1024 * 1024;

  private StoreMove() {}

  private static String config(int version, boolean changed) {
    String routes =
        Rig.route("desk", "safe", "desk", Rig.TIMEOUT_MILLIS, "")
            + (changed ? "," + Rig.route("added", "safe", "desk", Rig.TIMEOUT_MILLIS, "") : "");
    String keys = changed ? "\"key-1\"" : "\"key-1\",\"key-2\"";
    return Rig.config(
        version,
        routes,
        Rig.plainService("desk"),
        BODY_BYTES,
        ",\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[" + keys + "]}]");
  }

  static boolean run(Rig rig) throws Exception {
    Store old = rig.add(new Store());
    Backend first = rig.desk("i-1", "desk");
    old.put("servers", first.id, first.entry("ready"));
    old.put("op", "config", config(1, false));
    Instance instance = rig.instance("front-a-1", old);
    Rig.sleep(CALM_MILLIS);
    rig.record("before: key-1 " + ask(instance, "/desk/x", "key-1") + ", key-2 "
        + ask(instance, "/desk/x", "key-2"));

    Store store = old;
    if (rig.trouble) {
      store = rig.add(old.copy());
      Files.writeString(instance.settings, instance.text(store.address(), 8));
      rig.record("the store moves; the settings file names its new address");
      old.refuse();
      rig.record("the old address answers each call with 503");
    }
    instance.signal("HUP");
    rig.record("SIGHUP sent");
    Rig.sleep(CALM_MILLIS);

    store.put("op", "config", config(2, true));
    rig.record("version 2 is acknowledged: it drops key-2 and adds the route /added/");
    Backend second = rig.desk("i-2", "desk");
    store.put("servers", second.id, second.entry("ready"));
    store.put("servers", first.id, first.entry("draining"));
    rig.record("replica i-2 is ready, i-1 is draining");
    Rig.sleep(PROPAGATION_MILLIS);

    int runWithDroppedKey = 0;
    int deniedOnAddedRoute = 0;
    int runByLeavingReplica = 0;
    for (int i = 0; i < ROUNDS; i++) {
      String dropped = ask(instance, "/desk/x", "key-2");
      String added = ask(instance, "/added/x", "key-1");
      String plain = ask(instance, "/desk/x", "key-1");
      rig.record("key-2: " + dropped + ", added route: " + added + ", key-1: " + plain);
      runWithDroppedKey += dropped.startsWith("200") ? 1 : 0;
      deniedOnAddedRoute += added.matches("40[134].*") ? 1 : 0;
      runByLeavingReplica += plain.endsWith(first.id) ? 1 : 0;
      Rig.sleep(300);
    }
    store.drop("servers", first.id);
    first.close();
    rig.record("replica i-1 has left");
    Rig.sleep(2_000);
    int served = 0;
    for (int i = 0; i < ROUNDS; i++) {
      String plain = ask(instance, "/desk/x", "key-1");
      rig.record("key-1: " + plain);
      served += plain.startsWith("200") ? 1 : 0;
      Rig.sleep(300);
    }
    rig.record(
        String.format(
            Locale.ROOT,
            "of %d each: run with the dropped key %d, refused on the added route with 401, 403 or"
                + " 404 %d, run by the replica that drains %d, served after it has left %d",
            ROUNDS,
            runWithDroppedKey,
            deniedOnAddedRoute,
            runByLeavingReplica,
            served));
    if (rig.trouble) {
      old.close();
      Rig.sleep(5_000);
      rig.record("5 s after the old address is gone: key-2 " + ask(instance, "/desk/x", "key-2")
          + ", added route " + ask(instance, "/added/x", "key-1"));
    }
    return runWithDroppedKey == 0 && deniedOnAddedRoute == 0;
  }

  private static int number;

  private static String ask(Instance instance, String path, String key) {
    try (Client client = new Client(instance.callerPort())) {
      String id = "q-" + number++;
      client.send(
          "GET " + path, id, Rig.TIMEOUT_MILLIS, "Authorization: Token " + key + "\r\n", Rig.NOTHING);
      Client.Answer answer = client.read(false);
      return answer.status() + " " + answer.text().trim();
    } catch (IOException e) {
      return "no answer: " + e.getMessage();
    }
  }
}
