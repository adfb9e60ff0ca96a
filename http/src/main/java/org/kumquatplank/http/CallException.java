package org.kumquatplank.http;

import java.net.SocketTimeoutException;

/**
 * Thrown when a request gets no complete response; reports whether it may have been sent.
 *
 * <p>Its messages are stored with the outcome of a request.
 */
public final class CallException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;
  private final boolean timedOut;

  private CallException(
      String message, boolean mayHaveBeenSent, boolean timedOut, Throwable cause) {
    super(message, cause);
    this.mayHaveBeenSent = mayHaveBeenSent;
    this.timedOut = timedOut;
  }

  static CallException notSent(String endpoint, Throwable cause) {
    return new CallException("can't connect to " + endpoint, false, false, cause);
  }

  static CallException maybeSent(String endpoint, Throwable cause) {
    boolean timedOut = cause instanceof SocketTimeoutException;
    String problem = timedOut ? "no answer in time from " : "connection broke to ";
    return new CallException(problem + endpoint, true, timedOut, cause);
  }

  /** Returns whether the server may have received bytes of the request. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Returns whether a read timed out because the server sent nothing more before the deadline. */
  public boolean timedOut() {
    return timedOut;
  }
}
