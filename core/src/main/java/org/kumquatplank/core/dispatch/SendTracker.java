package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of all sends of one request, and so what its caller may be told.
 *
 * <p>Not thread-safe. A refusal can only be had from here, and only while no send may have run.
 */
public final class SendTracker {
  private final List<SendState> sends = new ArrayList<>();

  private SendTracker() {}

  /** What a caller is told when there is no answer of a backend server. */
  public enum Verdict {
    /** The request has not run and never will: 503. */
    NOT_RUN,
    /** A send broke off, and the request may have run: 502. */
    UNKNOWN,
    /** No answer came in time, and the request may have run: 504. */
    UNKNOWN_IN_TIME
  }

  /** Returns a tracker without sends. */
  public static SendTracker create() {
    return new SendTracker();
  }

  /** Opens a send that has not left yet, and returns its number. */
  public int open() {
    sends.add(SendState.NOT_SENT);
    return sends.size() - 1;
  }

  /** Notes what has become of a send; once it ran or was refused nothing changes that. */
  public void set(int send, SendState state) {
    SendState known = sends.get(send);
    if (known != SendState.RAN && known != SendState.NOT_RUN) {
      sends.set(send, state);
    }
  }

  /** Returns whether some send may have run. */
  public boolean mayHaveRun() {
    return sends.contains(SendState.MAY_HAVE_RUN) || sends.contains(SendState.RAN);
  }

  /** Returns the number of sends that reached a backend server or may have. */
  public int arrived() {
    return (int) sends.stream().filter(s -> s != SendState.NOT_SENT).count();
  }

  /**
   * Returns what the caller may be told.
   *
   * @param timedOut whether the time is up, rather than a send broken
   */
  public Verdict verdict(boolean timedOut) {
    if (!mayHaveRun()) {
      return Verdict.NOT_RUN;
    }
    return timedOut ? Verdict.UNKNOWN_IN_TIME : Verdict.UNKNOWN;
  }
}
