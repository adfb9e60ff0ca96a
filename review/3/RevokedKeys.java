package review;

import java.util.List;

/** The operator takes the last keys away; a request with a key of no config must not run. */
final class RevokedKeys {
  private static final List<String> KEYS = List.of("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk");
  private static final String FORGED_KEY = "k0000neverinanyconfg";
  private static final int PROPAGATION_MILLIS = 3_000;
  private static final int MARGIN_MILLIS = 1_000;
  private static final int TIME_LIMIT_MILLIS = 6_000;
  private static final int REQUESTS = 5;
  private static final int BODY_BYTES = 600;

  private RevokedKeys() {}

  public static void main(String[] arguments) {
    Case.run(arguments, RevokedKeys::run);
  }

  private static String config(int version, boolean withKeys) {
    String tenant = "{\"name\":\"%s\",\"api_keys\":[%s],\"priority\":1}";
    String first = tenant.formatted("hule930", withKeys ? "\"" + KEYS.get(0) + "\"" : "");
    String second = tenant.formatted("roka417", withKeys ? "\"" + KEYS.get(1) + "\"" : "");
    String tenants = ",\"tenants\":[" + first + "," + second + "]";
    String orders = Configs.ORDERS.formatted(false);
    return Configs.config(version, orders, Configs.PLAIN_SERVICE, tenants);
  }

  private static boolean run(Case.Context context) throws Exception {
    try (LogStore store = LogStore.open();
        Replica replica =
            Replica.open(
                store, "i-7f3a91c2", Configs.PLAIN, 6, r -> new Replica.Work.Answer(86, "taken"))) {
      store.put("op", "config", config(7, true));
      try (Entry entry =
          Entry.start(context.repository(), context.folder(), "127.0.0.1", store.address())) {
        int ranBefore = send(context, entry, replica, "before");
        store.put("op", "config", config(9, !context.trouble()));
        context
            .record()
            .line("config 9 acknowledged: %s", context.trouble() ? "both keys gone" : "same keys");
        Thread.sleep(PROPAGATION_MILLIS + MARGIN_MILLIS);
        int ranAfter = send(context, entry, replica, "after");
        context.record().line("runs with a key that no config ever held: %d", ranBefore + ranAfter);
        return ranBefore + ranAfter > 0;
      }
    }
  }

  /** Sends requests with each key; returns how many ran whose key no config ever held. */
  private static int send(Case.Context context, Entry entry, Replica replica, String when) {
    int forgedRan = 0;
    for (String key : List.of(KEYS.get(0), KEYS.get(1), FORGED_KEY)) {
      for (int i = 0; i < REQUESTS; i++) {
        String attempt = when + "-" + key.substring(0, 4) + "-" + i;
        Http.Request request =
            new Http.Request(
                "POST",
                "/puxa403/2f",
                Configs.HOST,
                attempt,
                TIME_LIMIT_MILLIS,
                "Authorization: Token " + key + "\r\n");
        Http.Answer answer = Http.call(entry.front(), request, BODY_BYTES);
        boolean ran = replica.ran(attempt);
        forgedRan += ran && key.equals(FORGED_KEY) ? 1 : 0;
        context.record().line("%s key %s: %s, %s", attempt, key, answer, ran ? "ran" : "not run");
      }
    }
    return forgedRan;
  }
}
