package org.kumquatplank.core.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A class of work: which requests belong to it, which service runs them and what their target is.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name unique name
 * @param host host that the request names
 * @param pathPrefix start of the path, from slash to slash
 * @param repeatability how often a request may run
 * @param stream whether the answer is a series of events
 * @param shares the services that run the work, at least one
 * @param timeoutMillis longest time from arrival to the end of the answer, milliseconds
 * @param targetMillis time within which the answer, or its first event, is on time, milliseconds
 * @param gapMillis longest pause between two events of an answer that is on time, milliseconds
 * @param priority rank of the work, 0 first
 * @param maxSends most backend servers that one request may be sent to
 * @param anonymous whether a request needs no credential
 * @param sharesPrompts whether prompts have parts in common that a backend server may hold
 * @param models models that may answer, smallest first; empty when the caller names the model
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repeatability repeatability,
    boolean stream,
    List<ServiceShare> shares,
    long timeoutMillis,
    long targetMillis,
    long gapMillis,
    int priority,
    int maxSends,
    boolean anonymous,
    boolean sharesPrompts,
    List<String> models) {

  /** Copies the lists. */
  public Route {
    shares = List.copyOf(shares);
    models = List.copyOf(models);
  }

  /** Returns whether a request may run on more than one backend server. */
  public boolean isRepeatable() {
    return repeatability != Repeatability.ONCE;
  }

  /**
   * Returns the service of a request: the same one whenever it is asked with the same key.
   *
   * @param key any text that spreads evenly, such as the id of the request
   */
  public String serviceOf(String key) {
    if (shares.size() == 1) {
      return shares.get(0).service();
    }
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    int point = total == 0 ? 0 : Math.floorMod(key.hashCode() * 0x9E3779B1, total);
    for (ServiceShare share : shares) {
      point -= share.weight();
      if (point < 0) {
        return share.service();
      }
    }
    return shares.get(0).service();
  }

  /** Returns the rank of a request of a client account that may have a rank of its own. */
  public int priorityFor(OptionalInt accountPriority) {
    return accountPriority.orElse(priority);
  }
}
