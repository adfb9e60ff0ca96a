package org.kumquatplank.core.catalog;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration: routes, services, credentials and limits.
 *
 * <p>Immutable and thread-safe.
 */
public final class Catalog {
  private final long version;
  private final Map<String, List<Route>> byHost;
  private final Map<String, ServiceInfo> services;
  private final Map<String, AccountCredential> keys;
  private final CallerLimits limits;

  private Catalog(
      long version,
      Map<String, List<Route>> byHost,
      Map<String, ServiceInfo> services,
      Map<String, AccountCredential> keys,
      CallerLimits limits) {
    this.version = version;
    this.byHost = byHost;
    this.services = services;
    this.keys = keys;
    this.limits = limits;
  }

  /**
   * Returns a version of the configuration.
   *
   * @param keys what each credential stands for; empty when no credential is asked for
   */
  public static Catalog of(
      long version,
      Collection<Route> routes,
      Collection<ServiceInfo> services,
      Map<String, AccountCredential> keys,
      CallerLimits limits) {
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
    Map<String, List<Route>> byHost = new HashMap<>();
    routes.stream()
        .collect(Collectors.groupingBy(Route::host))
        .forEach((host, list) -> byHost.put(host, list.stream().sorted(longestFirst).toList()));
    Map<String, ServiceInfo> byName =
        services.stream().collect(Collectors.toMap(ServiceInfo::name, s -> s, (a, b) -> b));
    return new Catalog(version, byHost, byName, Map.copyOf(keys), limits);
  }

  /** Returns the number of this version; a newer version has a higher one. */
  public long version() {
    return version;
  }

  /** Returns the route with the longest prefix that begins the path. */
  public Optional<Route> route(String host, String path) {
    for (Route route : byHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns what is known of a service. */
  public Optional<ServiceInfo> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether callers have to show a credential. */
  public boolean asksForKeys() {
    return !keys.isEmpty();
  }

  /** Returns what a credential stands for. */
  public Optional<AccountCredential> key(String credential) {
    return Optional.ofNullable(keys.get(credential));
  }

  /** Returns what callers may send. */
  public CallerLimits limits() {
    return limits;
  }
}
