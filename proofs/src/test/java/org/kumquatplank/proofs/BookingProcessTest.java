package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.ErrorResponses;
import org.kumquatplank.http.PooledHttpClient.FullResponse;

/**
 * Bookings through real processes that are killed, frozen or lose responses. Guards against a
 * booking that is executed twice, or is reported as not executed although it may have been.
 */
class BookingProcessTest {
  private static final String NO_FAULTS = "{}";

  private static RouterException error(FullResponse reply) {
    return ErrorResponses.parse(reply.body()).orElseThrow();
  }

  @Example
  void testBookingsRunAtMostOnceUnderEachFault() {
    try (Cluster cluster = new Cluster(3)) {
      storedResponseIsReturnedByAnotherInstance(cluster);
      reusedKeyWithAnotherBodyIsRejected(cluster);
      lostServiceResponseIsUnknownAndNotRetried(cluster);
      lostAppendResponsesDoNotDuplicateBooking(cluster);
      bookingRejectedDuringLogOutageNeverRuns(cluster);
      frozenClaimHolderRunsBookingOnce(cluster);
      killedClaimHolderLeavesOutcomeUnknown(cluster);
    }
  }

  private static void storedResponseIsReturnedByAnotherInstance(Cluster cluster) {
    FullResponse first = cluster.send(0, Cluster.bookingRequest("replay"));
    FullResponse second = cluster.send(1, Cluster.bookingRequest("replay"));
    assertThat(first.status()).isEqualTo(201);
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(cluster.bookingRuns("replay")).isEqualTo(1);
  }

  private static void reusedKeyWithAnotherBodyIsRejected(Cluster cluster) {
    var other =
        org.kumquatplank.http.Request.post("/v1/services/press/bookings", "{\"shift\":2}")
            .withHeader("Authorization", "Bearer " + Cluster.HEAD_OFFICE_KEY)
            .withHeader("Idempotency-Key", "replay");
    assertThat(error(cluster.send(2, other)).code()).isEqualTo(ErrorCode.KEY_REUSED);
  }

  private static void lostServiceResponseIsUnknownAndNotRetried(Cluster cluster) {
    cluster.setFaults(cluster.plainService, "{\"loseAnswers\":true}");
    RouterException first = error(cluster.send(0, Cluster.bookingRequest("lost")));
    cluster.setFaults(cluster.plainService, NO_FAULTS);
    RouterException second = error(cluster.send(1, Cluster.bookingRequest("lost")));
    assertThat(first.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(second.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(cluster.bookingRuns("lost")).isEqualTo(1);
  }

  private static void lostAppendResponsesDoNotDuplicateBooking(Cluster cluster) {
    cluster.setFaults(cluster.platform, "{\"loseAppendAnswers\":true}");
    FullResponse reply = cluster.send(0, Cluster.bookingRequest("unanswered-append"));
    cluster.setFaults(cluster.platform, NO_FAULTS);
    assertThat(reply.status()).isEqualTo(201);
    assertThat(cluster.bookingRuns("unanswered-append")).isEqualTo(1);
  }

  private static void bookingRejectedDuringLogOutageNeverRuns(Cluster cluster) {
    cluster.setFaults(cluster.platform, "{\"logDown\":true}");
    RouterException rejection = error(cluster.send(0, Cluster.bookingRequest("outage")));
    FullResponse chat = cluster.send(1, Cluster.chatRequest("tag", 3));
    cluster.setFaults(cluster.platform, NO_FAULTS);
    assertThat(rejection.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    // The log can't be read either, so an earlier submission under the key can't be excluded.
    assertThat(rejection.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(rejection.retryAt()).isPresent();
    assertThat(chat.status()).isEqualTo(200);
    Cluster.sleep(1_500);
    assertThat(cluster.bookingRuns("outage")).isZero();
    assertThat(cluster.send(2, Cluster.bookingRequest("outage")).status()).isEqualTo(201);
    assertThat(cluster.bookingRuns("outage")).isEqualTo(1);
  }

  private static void frozenClaimHolderRunsBookingOnce(Cluster cluster) {
    cluster.setFaults(cluster.plainService, "{\"slowMillis\":1500}");
    CompletableFuture<FullResponse> first =
        CompletableFuture.supplyAsync(() -> cluster.send(2, Cluster.bookingRequest("frozen")));
    Cluster.await("booking sent to the service", () -> cluster.bookingRuns("frozen") == 1);
    cluster.instances.get(2).freeze();
    RouterException whileFrozen = error(cluster.send(0, Cluster.bookingRequest("frozen")));
    cluster.instances.get(2).resume();
    cluster.setFaults(cluster.plainService, NO_FAULTS);
    assertThat(whileFrozen.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    first.join();
    assertThat(cluster.send(1, Cluster.bookingRequest("frozen")).status()).isIn(201, 409);
    assertThat(cluster.bookingRuns("frozen")).isEqualTo(1);
  }

  private static void killedClaimHolderLeavesOutcomeUnknown(Cluster cluster) {
    cluster.setFaults(cluster.plainService, "{\"slowMillis\":1500}");
    CompletableFuture<Void> first =
        CompletableFuture.runAsync(() -> cluster.send(2, Cluster.bookingRequest("killed")));
    Cluster.await("booking sent to the service", () -> cluster.bookingRuns("killed") == 1);
    cluster.instances.get(2).kill();
    cluster.setFaults(cluster.plainService, NO_FAULTS);
    assertThat(first.handle((r, e) -> e != null).join()).isTrue();
    assertThat(error(cluster.send(0, Cluster.bookingRequest("killed"))).executionStatus())
        .isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(error(cluster.send(1, Cluster.bookingRequest("killed"))).executionStatus())
        .isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(cluster.bookingRuns("killed")).isEqualTo(1);
  }
}
