package org.kumquatplank.core.dispatch;

/** State of one send of a request to a backend server. */
public enum SendState {
  /** No byte of the request has left this process. */
  NOT_SENT,
  /** The backend server reported that it did not run the request. */
  NOT_RUN,
  /** The request may have run, or may still run. */
  MAY_HAVE_RUN,
  /** The backend server responded to the request. */
  RAN
}
