package org.kumquatplank.core.dispatch;

/** Outcome reported to the caller of a request that ends without a backend server's response. */
public enum FailureOutcome {
  /** The request has not run and never will: 503. */
  NOT_RUN,
  /** A send failed and the request may have run: 502. */
  UNKNOWN,
  /** No response arrived in time and the request may have run: 504. */
  UNKNOWN_IN_TIME
}
