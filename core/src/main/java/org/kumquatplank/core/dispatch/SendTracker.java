package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the state of all sends of one request and derives the error reported to its caller.
 *
 * <p>Only this class may decide that a request has not run, and only while no send may have run.
 * Not thread-safe.
 */
public final class SendTracker {
  private final List<SendState> sends = new ArrayList<>();

  private SendTracker() {}

  /** Outcome reported to the caller if no backend server responded. */
  public enum FailureOutcome {
    /** The request has not run and never will: 503. */
    NOT_RUN,
    /** A send failed and the request may have run: 502. */
    UNKNOWN,
    /** No response arrived in time and the request may have run: 504. */
    UNKNOWN_IN_TIME
  }

  /** Returns a tracker without sends. */
  public static SendTracker create() {
    return new SendTracker();
  }

  /** Adds a send in state {@link SendState#NOT_SENT} and returns its index. */
  public int addSend() {
    sends.add(SendState.NOT_SENT);
    return sends.size() - 1;
  }

  /** Sets the state of a send; RAN and NOT_RUN are final. */
  public void setState(int send, SendState state) {
    SendState current = sends.get(send);
    if (current != SendState.RAN && current != SendState.NOT_RUN) {
      sends.set(send, state);
    }
  }

  /** Returns whether any send may have run. */
  public boolean mayHaveRun() {
    return sends.contains(SendState.MAY_HAVE_RUN) || sends.contains(SendState.RAN);
  }

  /** Returns the number of sends that reached, or may have reached, a backend server. */
  public int deliveredCount() {
    return (int) sends.stream().filter(s -> s != SendState.NOT_SENT).count();
  }

  /**
   * Returns the outcome to report to the caller.
   *
   * @param timedOut whether the deadline passed, as opposed to a failed send
   */
  public FailureOutcome failureOutcome(boolean timedOut) {
    if (!mayHaveRun()) {
      return FailureOutcome.NOT_RUN;
    }
    return timedOut ? FailureOutcome.UNKNOWN_IN_TIME : FailureOutcome.UNKNOWN;
  }
}
