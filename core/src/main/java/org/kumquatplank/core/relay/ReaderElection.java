package org.kumquatplank.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether an instance reads a topic of the store itself or relies on what others read.
 *
 * <p>Answers many instances that would all poll one store: an instance reads unless another one
 * with a smaller name has told it lately what the store holds. So one of them reads, and when it
 * stops, or the store turns it away, the others begin within the time that news may be old, without
 * any agreement. Not thread-safe.
 */
public final class ReaderElection {
  private final String self;
  private final long freshMicros;
  private final Map<String, Long> confirmedAt = new HashMap<>();

  private ReaderElection(String self, long freshMicros) {
    this.self = self;
    this.freshMicros = freshMicros;
  }

  /**
   * Returns the election as seen by an instance that was told nothing yet.
   *
   * @param self name of the instance
   * @param freshMicros how old the news of another instance may be, microseconds
   */
  public static ReaderElection create(String self, long freshMicros) {
    return new ReaderElection(self, freshMicros);
  }

  /**
   * Notes what another instance says.
   *
   * @param sender name of the other instance
   * @param at when the store confirmed to it that this is all, microseconds
   */
  public void heard(String sender, long at) {
    confirmedAt.merge(sender, at, Math::max);
  }

  /** Returns whether this instance has to read the topic itself. */
  public boolean reads(long now) {
    confirmedAt.values().removeIf(at -> now - at > freshMicros);
    return confirmedAt.keySet().stream().noneMatch(sender -> sender.compareTo(self) < 0);
  }
}
