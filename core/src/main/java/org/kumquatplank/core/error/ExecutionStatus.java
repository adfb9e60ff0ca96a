package org.kumquatplank.core.error;

/** Whether a backend server executed a failed request. */
public enum ExecutionStatus {
  /** No backend server received the request, and none will. */
  NOT_RUN("not_run"),
  /** A backend server executed the request. */
  RAN("ran"),
  /** A backend server may have executed the request. */
  UNKNOWN("unknown");

  private final String wireName;

  ExecutionStatus(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name as written in replies to callers. */
  public String wireName() {
    return wireName;
  }
}
