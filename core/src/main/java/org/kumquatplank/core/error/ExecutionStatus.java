package org.kumquatplank.core.error;

/** Whether the work of a failed request was carried out by a backend server. */
public enum ExecutionStatus {
  /** No backend server received the work, and none will. */
  NOT_RUN("not_run"),
  /** A backend server carried the work out. */
  RAN("ran"),
  /** The work may have been carried out. */
  UNKNOWN("unknown");

  private final String wireName;

  ExecutionStatus(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in answers to callers. */
  public String wireName() {
    return wireName;
  }
}
