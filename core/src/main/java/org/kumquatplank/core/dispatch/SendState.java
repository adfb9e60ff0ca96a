package org.kumquatplank.core.dispatch;

/** What is known of one send of a request to a backend server. */
public enum SendState {
  /** Nothing of it left this process. */
  NOT_SENT,
  /** The backend server said that it did not run it. */
  NOT_RUN,
  /** It may have run, or may still run. */
  MAY_HAVE_RUN,
  /** The backend server answered it. */
  RAN
}
