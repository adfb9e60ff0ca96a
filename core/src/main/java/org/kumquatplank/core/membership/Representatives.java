package org.kumquatplank.core.membership;

import java.util.Collection;

/**
 * Decides which instances of a failure domain stay registered in the store for others to find.
 *
 * <p>A few are enough, since each instance that is found names others. Answers a restart of many
 * instances at once, in which a registration of each would be a burst of calls to the store.
 * Stateless and thread-safe.
 */
public final class Representatives {
  /** Registered instances of a failure domain; the loss of two leaves one. */
  private static final int COUNT = 3;

  private Representatives() {}

  /**
   * Returns whether an instance is one of the first live ones of its failure domain by name.
   *
   * @param self name of the instance
   * @param livePeers names of the live peers of its failure domain, without the instance itself
   */
  public static boolean isOneOf(String self, Collection<String> livePeers) {
    return livePeers.stream().filter(name -> name.compareTo(self) < 0).count() < COUNT;
  }
}
