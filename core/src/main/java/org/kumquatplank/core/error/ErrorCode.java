package org.kumquatplank.core.error;

/** The error codes of all replies, each with its HTTP status. */
public enum ErrorCode {
  MALFORMED_REQUEST(400),
  BODY_TOO_LARGE(413),
  HEADER_TOO_LARGE(431),
  CREDENTIAL_MISSING(401),
  CREDENTIAL_WRONG(401),
  NOT_FOUND(404),
  METHOD_NOT_ALLOWED(405),
  UNKNOWN_CLASS(404),
  CLASS_NOT_ALLOWED(403),
  SERVICE_NOT_ALLOWED(403),
  UNKNOWN_SERVICE(404),
  NO_VERSION_ALLOWED(403),
  KEY_MISSING(400),
  KEY_INVALID(400),
  KEY_REUSED(422),
  IN_PROGRESS(409),
  OUTCOME_UNKNOWN(409),
  TARGET_UNREACHABLE(503),
  OVERLOADED(429),
  DEADLINE_UNREACHABLE(429),
  LOG_UNAVAILABLE(503),
  NOT_READY(503),
  STALE_CONFIGURATION(503),
  NO_BACKEND(503),
  BACKEND_FAILED(502),
  ANSWER_MISMATCH(502),
  CONFIG_INVALID(400),
  CONFIG_CONFLICT(409),
  INTERNAL(500);

  private final int status;

  ErrorCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of replies with this code. */
  public int status() {
    return status;
  }

  /** Returns the code in lower case, as written in replies. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
