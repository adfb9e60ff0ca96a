import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A configuration raises max_body_bytes while clients keep their channels open. */
final class Case14 {
  private static final int CLIENTS = 30;
  private static final int SMALL_LIMIT = 65_536;
  private static final int LARGE_LIMIT = 1 << 20;
  private static final int BODY_BYTES = 200_000;
  private static final int SMALL_REQUESTS = 5;

  private Case14() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, Case14::run);
  }

  private static String config(int version, int maxBodyBytes) {
    return Rig.config(
        version,
        Rig.route("order", "unsafe", "desk", Rig.TIMEOUT_MILLIS, ""),
        Rig.plainService("desk"),
        maxBodyBytes,
        "");
  }

  private static boolean run(Rig rig) throws Exception {
    Store store = rig.add(new Store());
    Backend desk = rig.desk("i-1", "desk");
    store.put("servers", desk.id, desk.entry("ready"));
    store.put("op", "config", config(1, rig.trouble ? SMALL_LIMIT : LARGE_LIMIT));
    Instance instance = rig.instance("front-a-1", store);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(rig.add(new Client(instance.callerPort())));
    }
    int all = 0;
    for (int round = 0; round < SMALL_REQUESTS; round++) {
      for (int i = 0; i < CLIENTS; i++) {
        Client.Answer answer = order(clients.get(i), "s" + round + "-" + i, 1_000);
        if (answer.status() != 200) {
          throw new IOException("a small request got " + answer.status());
        }
        all++;
      }
      Rig.sleep(1_000);
    }
    rig.record(all + " small requests on " + CLIENTS + " kept channels answered with 200");

    store.put("op", "config", config(2, LARGE_LIMIT));
    rig.record("version 2 is acknowledged: max_body_bytes is " + LARGE_LIMIT);
    for (int round = 0; round < 5; round++) {
      Rig.sleep(1_000);
      for (int i = 0; i < CLIENTS; i++) {
        order(clients.get(i), "t" + round + "-" + i, 1_000);
        all++;
      }
    }
    Client fresh = rig.add(new Client(instance.callerPort()));
    rig.record(
        "5 s later, " + BODY_BYTES + " bytes on a new channel: "
            + order(fresh, "f", BODY_BYTES).status());
    all++;
    int denied = 0;
    for (int i = 0; i < CLIENTS; i++) {
      all++;
      try {
        int status = order(clients.get(i), "l-" + i, BODY_BYTES).status();
        rig.record(BODY_BYTES + " bytes on kept channel " + i + ": " + status);
        denied += status >= 400 && status < 500 && status != 408 && status != 421 && status != 429
            ? 1
            : 0;
      } catch (IOException e) {
        rig.record(BODY_BYTES + " bytes on kept channel " + i + ": " + e);
      }
    }
    double allowed = 5 + all / 500.0;
    rig.record("denied " + denied + " of " + all + " requests; allowed are " + allowed);
    return denied <= allowed;
  }

  private static Client.Answer order(Client client, String id, int bytes) throws IOException {
    client.send("POST /order/x", id, Rig.TIMEOUT_MILLIS, "", new byte[bytes]);
    return client.read(false);
  }
}
