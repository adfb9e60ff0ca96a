package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.ErrorReplies;
import org.kumquatplank.http.PooledHttpClient.WholeReply;

/** Bookings through real processes that are killed, frozen and cut off from answers. */
class BookingProcessTest {
  private static final String NO_FAULT = "{}";

  private static RouterException error(WholeReply reply) {
    return ErrorReplies.parse(reply.body()).orElseThrow();
  }

  @Example
  void testBookingsRunAtMostOnceUnderEachFault() {
    try (Cluster cluster = new Cluster(3)) {
      replaysTheAnswerAtAnotherInstance(cluster);
      refusesAnotherBodyUnderTheKey(cluster);
      lostServiceAnswerIsUnknownAndNeverRepeated(cluster);
      lostLogAnswersDoNotDouble(cluster);
      logOutageRefusesNotRunAndThatStaysTrue(cluster);
      frozenHolderRunsItOnce(cluster);
      killedHolderLeavesUnknown(cluster);
    }
  }

  private static void replaysTheAnswerAtAnotherInstance(Cluster cluster) {
    WholeReply first = cluster.ask(0, Cluster.booking("replay"));
    WholeReply second = cluster.ask(1, Cluster.booking("replay"));
    assertThat(first.status()).isEqualTo(201);
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(cluster.runs("replay")).isEqualTo(1);
  }

  private static void refusesAnotherBodyUnderTheKey(Cluster cluster) {
    var other =
        org.kumquatplank.http.Request.post("/v1/services/press/bookings", "{\"shift\":2}")
            .withHeader("Authorization", "Bearer " + Cluster.KEY)
            .withHeader("Idempotency-Key", "replay");
    assertThat(error(cluster.ask(2, other)).code()).isEqualTo(ErrorCode.KEY_REUSED);
  }

  private static void lostServiceAnswerIsUnknownAndNeverRepeated(Cluster cluster) {
    cluster.faults(cluster.press, "{\"loseAnswers\":true}");
    RouterException first = error(cluster.ask(0, Cluster.booking("lost")));
    cluster.faults(cluster.press, NO_FAULT);
    RouterException again = error(cluster.ask(1, Cluster.booking("lost")));
    assertThat(first.ran()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(again.ran()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(cluster.runs("lost")).isEqualTo(1);
  }

  private static void lostLogAnswersDoNotDouble(Cluster cluster) {
    cluster.faults(cluster.platform, "{\"loseAppendAnswers\":true}");
    WholeReply reply = cluster.ask(0, Cluster.booking("unanswered-append"));
    cluster.faults(cluster.platform, NO_FAULT);
    assertThat(reply.status()).isEqualTo(201);
    assertThat(cluster.runs("unanswered-append")).isEqualTo(1);
  }

  private static void logOutageRefusesNotRunAndThatStaysTrue(Cluster cluster) {
    cluster.faults(cluster.platform, "{\"logDown\":true}");
    RouterException refusal = error(cluster.ask(0, Cluster.booking("outage")));
    WholeReply chat = cluster.ask(1, Cluster.chat("tag", 3));
    cluster.faults(cluster.platform, NO_FAULT);
    assertThat(refusal.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(refusal.ran()).isEqualTo(ExecutionStatus.NOT_RUN);
    assertThat(chat.status()).isEqualTo(200);
    Cluster.sleep(1_500);
    assertThat(cluster.runs("outage")).isZero();
    assertThat(cluster.ask(2, Cluster.booking("outage")).status()).isEqualTo(201);
    assertThat(cluster.runs("outage")).isEqualTo(1);
  }

  private static void frozenHolderRunsItOnce(Cluster cluster) {
    cluster.faults(cluster.press, "{\"slowMillis\":1500}");
    CompletableFuture<WholeReply> first =
        CompletableFuture.supplyAsync(() -> cluster.ask(2, Cluster.booking("frozen")));
    Cluster.await("the booking is dispatched", () -> cluster.runs("frozen") == 1);
    cluster.entries.get(2).freeze();
    RouterException meanwhile = error(cluster.ask(0, Cluster.booking("frozen")));
    cluster.entries.get(2).resume();
    cluster.faults(cluster.press, NO_FAULT);
    assertThat(meanwhile.ran()).isEqualTo(ExecutionStatus.UNKNOWN);
    first.join();
    assertThat(cluster.ask(1, Cluster.booking("frozen")).status()).isIn(201, 409);
    assertThat(cluster.runs("frozen")).isEqualTo(1);
  }

  private static void killedHolderLeavesUnknown(Cluster cluster) {
    cluster.faults(cluster.press, "{\"slowMillis\":1500}");
    CompletableFuture<Void> first =
        CompletableFuture.runAsync(() -> cluster.ask(2, Cluster.booking("killed")));
    Cluster.await("the booking is dispatched", () -> cluster.runs("killed") == 1);
    cluster.entries.get(2).kill();
    cluster.faults(cluster.press, NO_FAULT);
    assertThat(first.handle((r, e) -> e != null).join()).isTrue();
    assertThat(error(cluster.ask(0, Cluster.booking("killed"))).ran())
        .isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(error(cluster.ask(1, Cluster.booking("killed"))).ran())
        .isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(cluster.runs("killed")).isEqualTo(1);
  }
}
