import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import rig.Case;
import rig.Config;
import rig.EntryProcess;
import rig.Http;
import rig.LogStore;
import rig.Replica;

/** A replica fails part of the orders after it has run them, with status 503. */
final class RefusedAfterRun extends Case {
  private static final int ORDERS = 60;
  private static final String IP = "127.0.30.1";

  private final Set<String> ran = ConcurrentHashMap.newKeySet();

  private RefusedAfterRun(Path folder) throws Exception {
    super(folder);
  }

  public static void main(String[] arguments) throws Exception {
    main(new RefusedAfterRun(Path.of(arguments[0])));
  }

  @Override
  protected int run() throws Exception {
    LogStore store = closeLater(LogStore.open("127.0.30.250"));
    store.put(
        "op",
        "config",
        Config.of(
            7,
            Config.route("orders", "/order/", "unsafe", "desk", 6_000, 486, ""),
            Config.plain("desk", 96),
            16_384,
            4_194_304));
    for (int i = 1; i <= 3; i++) {
      closeLater(
          Replica.open(
              store, "127.0.30." + (100 + i), "i-desk-" + i, "desk", "seoul-a", 6, record, this::order));
    }
    int first = EntryProcess.freePorts(List.of(IP));
    EntryProcess entry =
        closeLater(
            EntryProcess.start(
                temporary, "front-1", IP, "seoul-a", Map.of("seoul-a", "seoul"), List.of(IP), first,
                store, 430, 4_100));
    if (!entry.awaitReady(20_000)) {
      return NOT_RUN;
    }
    int refusedAndRan = 0;
    int answered = 0;
    for (int i = 0; i < ORDERS; i++) {
      String id = "order-" + i;
      Http.Message answer =
          send(entry, id, request("POST /order/x", id, 6_000, "", "one print order"), 8_000);
      answered += answer != null ? 1 : 0;
      if (answer != null && Set.of(408, 421, 429, 503).contains(answer.status()) && ran.contains(id)) {
        refusedAndRan++;
        record.line("refused-though-it-ran", "id", id, "status", "" + answer.status());
      }
    }
    System.out.println(
        ORDERS + " orders, " + answered + " answered, " + ran.size() + " ran, " + refusedAndRan
            + " that ran were answered 408, 421, 429 or 503");
    return answered == 0 ? NOT_RUN : refusedAndRan > 0 ? BROKEN : HELD;
  }

  /** Runs the order; with the disruption, two in five fail after that at one replica of the three. */
  private boolean order(Replica replica, Http.Message request, java.io.OutputStream out)
      throws java.io.IOException, InterruptedException {
    String id = request.header("x-attempt-id");
    ran.add(id);
    Thread.sleep(60);
    boolean fails =
        trouble && replica.id().equals("i-desk-1") && Math.floorMod(id.hashCode(), 5) < 2;
    replica.answer(out, request, fails ? 503 : 200, fails ? "out of order" : "order taken");
    return true;
  }
}
