package org.kumquatplank.core.error;

import java.time.Instant;
import java.util.Optional;

/**
 * Thrown when a request is rejected or fails; its code and message are sent to the caller.
 *
 * <p>Immutable. Because the message reaches the caller unchanged, it must not contain prompt text
 * or credentials.
 */
public final class RouterException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final ExecutionStatus executionStatus;
  private final Instant retryAt;

  private RouterException(
      ErrorCode code,
      ExecutionStatus executionStatus,
      Instant retryAt,
      String message,
      Throwable cause) {
    super(message, cause);
    this.code = code;
    this.executionStatus = executionStatus;
    this.retryAt = retryAt;
  }

  /** Returns a rejection: no backend server received the request, and none will. */
  public static RouterException notRun(ErrorCode code, String message) {
    return new RouterException(code, ExecutionStatus.NOT_RUN, null, message, null);
  }

  /** Returns a rejection of a request that may be retried at or after {@code retryAt}. */
  public static RouterException notRunUntil(ErrorCode code, Instant retryAt, String message) {
    return new RouterException(code, ExecutionStatus.NOT_RUN, retryAt, message, null);
  }

  /** Returns a failure after which the request may or may not have been executed. */
  public static RouterException unknown(ErrorCode code, String message) {
    return new RouterException(code, ExecutionStatus.UNKNOWN, null, message, null);
  }

  /** Returns a failure with the given execution status that is worth a retry at {@code retryAt}. */
  public static RouterException retryLater(
      ErrorCode code, ExecutionStatus ran, Instant retryAt, String message) {
    return new RouterException(code, ran, retryAt, message, null);
  }

  /** Returns a failure with the given execution status and cause; the cause may be null. */
  public static RouterException of(
      ErrorCode code, ExecutionStatus ran, String message, Throwable cause) {
    return new RouterException(code, ran, null, message, cause);
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns whether a backend server executed the request. */
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }

  /** Returns the earliest time at which a retry may succeed, or empty if it is unknown. */
  public Optional<Instant> retryAt() {
    return Optional.ofNullable(retryAt);
  }
}
