package org.kumquatplank.bench;

import java.util.Optional;

/** Outcome of a simulated request, filled in as it runs. Not thread-safe. */
final class RequestResult {
  private final SimRequest request;
  private Optional<Long> firstToken = Optional.empty();
  private Optional<Long> finished = Optional.empty();
  private boolean rejected;
  private String version = "";
  private double costMicros;
  private double rating;
  private int moves;

  RequestResult(SimRequest request) {
    this.request = request;
  }

  SimRequest request() {
    return request;
  }

  String workClass() {
    return request.routingRequest().workClass().name();
  }

  /** Records the time of the first token; later calls have no effect. */
  void recordFirstToken(long now) {
    if (firstToken.isEmpty()) {
      firstToken = Optional.of(now);
    }
  }

  void recordFinish(long now) {
    finished = Optional.of(now);
  }

  void recordRejection() {
    rejected = true;
  }

  boolean isRejected() {
    return rejected;
  }

  /** Records a run on a version. Costs add up over the runs; the last version and rating count. */
  void recordRun(String runVersion, double runCostMicros, double runRating) {
    version = runVersion;
    costMicros += runCostMicros;
    rating = runRating;
  }

  /** Records that the request was moved to another engine. */
  void recordMove() {
    moves++;
  }

  int moves() {
    return moves;
  }

  String version() {
    return version;
  }

  double costMicros() {
    return costMicros;
  }

  double rating() {
    return rating;
  }

  boolean isFinished() {
    return finished.isPresent();
  }

  /** Returns whether the request finished within the finish target of its work class. */
  boolean metDeadline() {
    return finished.isPresent() && finished.get() <= request.routingRequest().responseDeadline();
  }

  /** Returns the time from arrival to the last token, or NaN if the request did not finish. */
  double latencyMillis() {
    return finished
        .map(f -> (f - request.routingRequest().arrivalMicros()) / 1_000.0)
        .orElse(Double.NaN);
  }

  /** Returns the time to first token, or NaN if no token arrived. */
  double firstTokenMillis() {
    return firstToken
        .map(f -> (f - request.routingRequest().arrivalMicros()) / 1_000.0)
        .orElse(Double.NaN);
  }

  /** Returns the mean time between tokens, or 0 if the request did not finish or has one token. */
  double millisPerToken() {
    return finished.isEmpty() || request.outputTokens() < 2
        ? 0
        : (finished.get() - firstToken.orElseThrow()) / 1_000.0 / (request.outputTokens() - 1);
  }
}
