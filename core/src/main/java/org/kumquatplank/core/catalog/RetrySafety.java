package org.kumquatplank.core.catalog;

/** Whether a request may be retried after it may have run. */
public enum RetrySafety {
  /** The request may run any number of times. */
  IDEMPOTENT,
  /** A stream that another backend server may resume after the last event sent to the caller. */
  RESUMABLE,
  /** The request may run at most once. */
  ONCE
}
