package org.kumquatplank.core.dispatch;

/**
 * The response that ends a request. Immutable.
 *
 * <p>Only a {@link SendTracker} creates one, so that what a caller is told is derived from all
 * sends of the request.
 *
 * @param <R> type of the responses of backend servers
 */
public sealed interface FinalResponse<R> {
  /**
   * A response of a backend server, to be forwarded unchanged.
   *
   * @param <R> type of the responses of backend servers
   */
  final class Forwarded<R> implements FinalResponse<R> {
    private final R response;

    Forwarded(R response) {
      this.response = response;
    }

    /** Returns the response of the backend server. */
    public R response() {
      return response;
    }
  }

  /**
   * A response of this router, since no backend server gave one that can be forwarded.
   *
   * @param <R> type of the responses of backend servers
   */
  final class Local<R> implements FinalResponse<R> {
    private final FailureOutcome outcome;

    Local(FailureOutcome outcome) {
      this.outcome = outcome;
    }

    /** Returns what the caller is told. */
    public FailureOutcome outcome() {
      return outcome;
    }
  }
}
