package review;

import java.util.ArrayList;
import java.util.List;

/** One request names a model that its route doesn't have; the route must go on being served. */
final class WrongModel {
  private static final List<String> MODELS = List.of("daka510000", "rada7437b5", "ravo486f6a");
  private static final String OTHER_MODEL = "daka409999";
  private static final int REPLICAS = 3;
  private static final int REQUESTS = 40;
  private static final int PAUSE_MILLIS = 100;
  private static final int PROPAGATION_MILLIS = 3_000;
  private static final int STABLE_WINDOW_MILLIS = 4_000;
  private static final int MARGIN_MILLIS = 1_000;

  /** The bound of the rule, and the number of requests from which it holds. */
  private static final double LEAST_SHARE = 0.25;

  private WrongModel() {}

  public static void main(String[] arguments) {
    Case.run(arguments, WrongModel::run);
  }

  private static boolean run(Case.Context context) throws Exception {
    List<Replica> replicas = new ArrayList<>();
    try (LogStore store = LogStore.open()) {
      for (int i = 0; i < REPLICAS; i++) {
        replicas.add(
            Replica.open(
                store, "i-7f3a91c" + i, Configs.PLAIN, 6, r -> new Replica.Work.Answer(86, "ok")));
        replicas.add(
            Replica.open(store, "i-02d9e6b" + i, Configs.ENGINE, 64, WrongModel::generate));
      }
      String orders = Configs.ORDERS.formatted(true);
      store.put("op", "config", Configs.config(7, orders, Configs.PLAIN_SERVICE, ""));
      try (Entry entry =
          Entry.start(context.repository(), context.folder(), "127.0.0.1", store.address())) {
        String routes = orders + "," + Configs.STREAMS.formatted(true);
        String services = Configs.PLAIN_SERVICE + "," + Configs.ENGINE_SERVICE;
        store.put("op", "config", Configs.config(9, routes, services, ""));
        context.record().line("config 9 acknowledged: it adds the route dream-retelling");
        Thread.sleep(PROPAGATION_MILLIS + MARGIN_MILLIS);
        if (context.trouble()) {
          Http.Answer answer = stream(entry, "other-model", OTHER_MODEL);
          context.record().line("other-model, X-Model %s: %s", OTHER_MODEL, answer);
        }
        Thread.sleep(STABLE_WINDOW_MILLIS);
        int first = 0;
        int added = 0;
        for (int i = 0; i < REQUESTS; i++) {
          Http.Request order =
              new Http.Request("POST", "/puxa403/2f", Configs.HOST, "order-" + i, 6_000, "");
          Http.Answer orderAnswer = Http.call(entry.front(), order, 600);
          Http.Answer streamAnswer = stream(entry, "stream-" + i, "*");
          first += isServed(orderAnswer) ? 1 : 0;
          added += isServed(streamAnswer) ? 1 : 0;
          context.record().line("order-%d: %s; stream-%d: %s", i, orderAnswer, i, streamAnswer);
          Thread.sleep(PAUSE_MILLIS);
        }
        context
            .record()
            .line(
                "served of %d each: %d on the first route, %d on the added one",
                REQUESTS, first, added);
        return added < LEAST_SHARE * first;
      }
    } finally {
      for (Replica replica : replicas) {
        replica.close();
      }
    }
  }

  private static boolean isServed(Http.Answer answer) {
    return answer.status() == 200 && answer.complete();
  }

  private static Replica.Work generate(Replica.Run run) {
    return MODELS.contains(run.header("X-Model"))
        ? new Replica.Work.Events(8, 10)
        : new Replica.Work.Misdirected();
  }

  private static Http.Answer stream(Entry entry, String attempt, String model) {
    String headers =
        "X-Model: %s\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\n"
            .formatted(model, Integer.toHexString(attempt.hashCode()));
    Http.Request request =
        new Http.Request("POST", "/lohu930/2f", Configs.HOST, attempt, 20_000, headers);
    return Http.call(entry.front(), request, 1_460);
  }
}
