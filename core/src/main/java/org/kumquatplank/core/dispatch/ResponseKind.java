package org.kumquatplank.core.dispatch;

/** What the response of a backend server says about the run of a request. */
public enum ResponseKind {
  /** The backend server ran the request, with success. */
  SUCCESS,
  /** The backend server reported that it did not run the request. */
  REFUSAL,
  /** The backend server failed the request, which may have run. */
  FAILURE,
  /**
   * The response denies the run without the statement that makes a refusal, or against it: the
   * request may have run, and a caller must not see the response.
   */
  FALSE_DENIAL
}
