package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** SIGTERM comes while requests wait in the instance for a place at a replica. */
final class QueuedAtStop {
  private static final int SLOTS = 8;
  private static final int REPLICAS = 2;
  private static final int WAITING = 6;
  private static final int EVENTS = 64;
  private static final int EVENT_PAUSE_MILLIS = 140;
  private static final int TIME_LIMIT_MILLIS = 20_000;
  private static final int GRACE_MILLIS = 8_000;
  private static final int LOSS_SLACK_MILLIS = 200;
  private static final int BODY_BYTES = 12_000;

  private QueuedAtStop() {}

  /** A request with its end, in milliseconds after it was sent. */
  private record Outcome(String attempt, Http.Answer answer, long millis) {}

  public static void main(String[] arguments) {
    Case.run(arguments, QueuedAtStop::run);
  }

  private static boolean run(Case.Context context) throws Exception {
    List<Replica> replicas = new ArrayList<>();
    try (LogStore store = LogStore.open();
        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < REPLICAS; i++) {
        Replica.Work stream = new Replica.Work.Events(EVENTS, EVENT_PAUSE_MILLIS);
        replicas.add(Replica.open(store, "i-7f3a91c" + i, Configs.ENGINE, SLOTS, r -> stream));
      }
      String streams = Configs.STREAMS.formatted(true);
      store.put("op", "config", Configs.config(7, streams, Configs.ENGINE_SERVICE, ""));
      try (Entry entry =
          Entry.start(context.repository(), context.folder(), "127.0.0.1", store.address())) {
        List<Future<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < REPLICAS * SLOTS; i++) {
          outcomes.add(clients.submit(request(context, entry, "running-" + i)));
        }
        Thread.sleep(500);
        for (int i = 0; i < WAITING; i++) {
          outcomes.add(clients.submit(request(context, entry, "waiting-" + i)));
        }
        Thread.sleep(500);
        if (context.trouble()) {
          context.record().line("SIGTERM");
          entry.stop(GRACE_MILLIS);
        }
        int lost = 0;
        for (Future<Outcome> future : outcomes) {
          Outcome outcome = future.get();
          boolean passedOn = replicas.stream().anyMatch(r -> r.ran(outcome.attempt()));
          // A replica that was still at work at the end of the grace period is an excuse.
          boolean withoutAnswer = !outcome.answer().complete();
          boolean isLost =
              withoutAnswer
                  && !passedOn
                  && outcome.millis() > LOSS_SLACK_MILLIS
                  && outcome.millis() < TIME_LIMIT_MILLIS;
          lost += isLost ? 1 : 0;
          context
              .record()
              .line(
                  "%s: %s after %d ms, %s%s",
                  outcome.attempt(),
                  outcome.answer().status() == 200 && outcome.answer().complete()
                      ? "whole stream"
                      : outcome.answer(),
                  outcome.millis(),
                  passedOn ? "a replica worked on it" : "never passed on",
                  isLost ? ": LOST" : "");
        }
        context.record().line("read whole, never passed on, and ended without an answer: %d", lost);
        return lost > 0;
      }
    } finally {
      for (Replica replica : replicas) {
        replica.close();
      }
    }
  }

  private static Callable<Outcome> request(Case.Context context, Entry entry, String attempt) {
    Http.Request request =
        new Http.Request(
            "POST",
            "/lohu930/2f",
            Configs.HOST,
            attempt,
            TIME_LIMIT_MILLIS,
            "X-Model: *\r\nX-Token-Counts: 11992,384\r\n"
                + "X-Prompt-Prefix: 5c1e07a2:512,91bd3f06:4870,"
                + Integer.toHexString(attempt.hashCode())
                + ":6610\r\n");
    return () -> {
      long start = System.nanoTime();
      context.record().line("%s sent", attempt);
      Http.Answer answer = Http.call(entry.front(), request, BODY_BYTES);
      return new Outcome(attempt, answer, (System.nanoTime() - start) / 1_000_000);
    };
  }
}
