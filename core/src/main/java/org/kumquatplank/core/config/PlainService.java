package org.kumquatplank.core.config;

import java.util.List;

/**
 * A backend service other than a model engine, for example a booking service.
 *
 * @param name unique name, used in the path of calls
 * @param onceOnly calls that may run at most once, each as {@code METHOD /path-prefix}
 * @param checksFencing whether its servers reject requests with an outdated fencing token
 * @param timeoutMillis time-out of a call, in milliseconds
 */
public record PlainService(
    String name, List<String> onceOnly, boolean checksFencing, long timeoutMillis)
    implements Named {
  /** Copies the list, so that the record is immutable. */
  public PlainService {
    onceOnly = List.copyOf(onceOnly);
  }

  /** Returns whether a call with this method and path may run at most once. */
  public boolean isNonIdempotent(String method, String path) {
    String call = method + " " + path;
    return onceOnly.stream().anyMatch(call::startsWith);
  }
}
