package org.kumquatplank.core.catalog;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration: routes, services, credentials and caller limits.
 *
 * <p>Immutable and thread-safe.
 */
public final class Catalog {
  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceInfo> services;
  private final Optional<Map<String, CredentialOwner>> accountsByCredential;
  private final CallerLimits limits;
  private final Map<String, RegionRule> regionsByRoute = new HashMap<>();
  private final Map<String, RegionRule> regionsByAccount = new HashMap<>();

  private Catalog(
      long version,
      Map<String, List<Route>> routesByHost,
      Map<String, ServiceInfo> services,
      Optional<Map<String, CredentialOwner>> accountsByCredential,
      CallerLimits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.accountsByCredential = accountsByCredential;
    this.limits = limits;
    for (List<Route> routes : routesByHost.values()) {
      routes.forEach(r -> regionsByRoute.merge(r.name(), r.regions(), RegionRule::and));
    }
    accountsByCredential
        .map(Map::values)
        .orElse(List.of())
        .forEach(o -> regionsByAccount.merge(o.account(), o.regions(), RegionRule::and));
  }

  /**
   * Returns a catalog.
   *
   * @param accountsByCredential client account of each credential; absent if callers need none,
   *     which is not the same as an empty map, with which no credential is valid
   */
  public static Catalog of(
      long version,
      Collection<Route> routes,
      Collection<ServiceInfo> services,
      Optional<Map<String, CredentialOwner>> accountsByCredential,
      CallerLimits limits) {
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
    Map<String, List<Route>> byHost = new HashMap<>();
    routes.stream()
        .collect(Collectors.groupingBy(Route::host))
        .forEach((host, list) -> byHost.put(host, list.stream().sorted(longestFirst).toList()));
    Map<String, ServiceInfo> byName =
        services.stream().collect(Collectors.toMap(ServiceInfo::name, s -> s, (a, b) -> b));
    return new Catalog(version, byHost, byName, accountsByCredential.map(Map::copyOf), limits);
  }

  /** Returns the version number, which increases with each version. */
  public long version() {
    return version;
  }

  /** Returns the route of the host with the longest prefix of the path, or nothing. */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns a service, or nothing if it is not configured. */
  public Optional<ServiceInfo> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether callers must present a credential. */
  public boolean requiresCredentials() {
    return accountsByCredential.isPresent();
  }

  /** Returns the client account of a credential, or nothing if the credential is unknown. */
  public Optional<CredentialOwner> credentialOwner(String credential) {
    return accountsByCredential.map(owners -> owners.get(credential));
  }

  /**
   * Returns the rule for the regions of requests of a client account on a route; both bind.
   *
   * @param routeName name of the route
   * @param account client account, empty if there is none
   * @return the rule, or nothing if the route or the account is no longer configured
   */
  public Optional<RegionRule> regions(String routeName, String account) {
    RegionRule ofRoute = regionsByRoute.get(routeName);
    RegionRule ofAccount =
        account.isEmpty() ? new RegionRule.Anywhere() : regionsByAccount.get(account);
    return ofRoute == null || ofAccount == null
        ? Optional.empty()
        : Optional.of(ofRoute.and(ofAccount));
  }

  /** Returns the limits for requests of callers. */
  public CallerLimits limits() {
    return limits;
  }
}
