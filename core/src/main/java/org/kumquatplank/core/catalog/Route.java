package org.kumquatplank.core.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A route: the requests that match it, the services that run them, and their latency target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name unique name
 * @param host host of the request
 * @param pathPrefix prefix of the request path, which begins and ends with a slash
 * @param retrySafety whether a request may be retried after it may have run
 * @param stream whether the response is a stream of events
 * @param serviceShares services that run the requests, with their weights; at least one
 * @param timeoutMillis maximum time from arrival to the end of the response, milliseconds
 * @param latencyTargetMillis latency target of the response or its first event, milliseconds
 * @param maxGapMillis maximum pause between two events that is on time, milliseconds
 * @param priority priority of the requests, 0 being the most urgent
 * @param maxAttempts maximum number of sends of one request
 * @param allowsAnonymous whether a request needs no credential
 * @param usesPrefixAffinity whether prompts share prefixes that a backend server may have cached
 * @param regions regions in which the requests may be served
 * @param models models that may serve the request, smallest first; empty if the caller names the
 *     model
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RetrySafety retrySafety,
    boolean stream,
    List<ServiceShare> serviceShares,
    long timeoutMillis,
    long latencyTargetMillis,
    long maxGapMillis,
    int priority,
    int maxAttempts,
    boolean allowsAnonymous,
    boolean usesPrefixAffinity,
    RegionRule regions,
    List<String> models) {

  /** Copies the lists. */
  public Route {
    serviceShares = List.copyOf(serviceShares);
    models = List.copyOf(models);
  }

  /** Returns whether a request may run on more than one backend server. */
  public boolean isRetryable() {
    return retrySafety != RetrySafety.ONCE;
  }

  /**
   * Returns the service of a request, chosen by weight; the same key always gives the same service.
   *
   * @param key text with an even hash distribution, such as the request id
   */
  public String serviceFor(String key) {
    if (serviceShares.size() == 1) {
      return serviceShares.get(0).service();
    }
    int total = serviceShares.stream().mapToInt(ServiceShare::weight).sum();
    int remaining = total == 0 ? 0 : Math.floorMod(key.hashCode() * 0x9E3779B1, total);
    for (ServiceShare share : serviceShares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return serviceShares.get(0).service();
  }

  /** Returns the priority of a request, given that of its client account, if there is one. */
  public int priorityFor(OptionalInt accountPriority) {
    return accountPriority.orElse(priority);
  }
}
