package org.kumquatplank.core.error;

import java.time.Instant;
import java.util.Optional;

/**
 * A refusal or failure that is told to the caller as it stands.
 *
 * <p>Immutable. The message holds no prompt text and no credential.
 */
public final class RouterException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final ExecutionStatus ran;
  private final Instant retryAt;

  private RouterException(
      ErrorCode code, ExecutionStatus ran, Instant retryAt, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
    this.ran = ran;
    this.retryAt = retryAt;
  }

  /** Returns a refusal: no backend server received the work, and none will. */
  public static RouterException notRun(ErrorCode code, String message) {
    return new RouterException(code, ExecutionStatus.NOT_RUN, null, message, null);
  }

  /** Returns a refusal that may be retried from {@code retryAt} on. */
  public static RouterException notRunUntil(ErrorCode code, Instant retryAt, String message) {
    return new RouterException(code, ExecutionStatus.NOT_RUN, retryAt, message, null);
  }

  /** Returns a failure after which the work may or may not have been carried out. */
  public static RouterException unknown(ErrorCode code, String message) {
    return new RouterException(code, ExecutionStatus.UNKNOWN, null, message, null);
  }

  /** Returns a failure with the given claim about the work. */
  public static RouterException of(ErrorCode code, ExecutionStatus ran, String message, Throwable cause) {
    return new RouterException(code, ran, null, message, cause);
  }

  /** Returns the code of this error. */
  public ErrorCode code() {
    return code;
  }

  /** Returns whether the work was carried out. */
  public ExecutionStatus ran() {
    return ran;
  }

  /** Returns the time from which a retry may succeed, if that is known. */
  public Optional<Instant> retryAt() {
    return Optional.ofNullable(retryAt);
  }
}
