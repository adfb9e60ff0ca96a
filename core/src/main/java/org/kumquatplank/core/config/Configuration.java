package org.kumquatplank.core.config;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The configuration that operators publish, at one version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version number of accepted changes since the empty configuration
 * @param classes work classes by name
 * @param accounts client accounts by name
 * @param versions model versions by name
 * @param services plain services by name
 */
public record Configuration(
    long version,
    SortedMap<String, WorkClass> classes,
    SortedMap<String, ClientAccount> accounts,
    SortedMap<String, ModelVersion> versions,
    SortedMap<String, PlainService> services) {

  /** Copies the maps, so that the record is immutable. */
  public Configuration {
    classes = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(classes));
    accounts = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(accounts));
    versions = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    services = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(services));
  }

  /** Returns the empty configuration at version 0. */
  public static Configuration empty() {
    return of(0, List.of(), List.of(), List.of(), List.of());
  }

  /** Returns a configuration of the given items. */
  public static Configuration of(
      long version,
      Collection<WorkClass> classes,
      Collection<ClientAccount> accounts,
      Collection<ModelVersion> versions,
      Collection<PlainService> services) {
    return new Configuration(
        version, byName(classes), byName(accounts), byName(versions), byName(services));
  }

  private static <T extends Named> SortedMap<String, T> byName(Collection<T> items) {
    return items.stream()
        .collect(Collectors.toMap(Named::name, Function.identity(), (a, b) -> b, TreeMap::new));
  }

  /** Returns the work class of that name. */
  public Optional<WorkClass> findClass(String name) {
    return Optional.ofNullable(classes.get(name));
  }

  /** Returns the client account of that name. */
  public Optional<ClientAccount> findAccount(String name) {
    return Optional.ofNullable(accounts.get(name));
  }

  /** Returns the model version of that name. */
  public Optional<ModelVersion> findVersion(String name) {
    return Optional.ofNullable(versions.get(name));
  }

  /** Returns the plain service of that name. */
  public Optional<PlainService> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether new requests of the account may be sent to the model version. */
  public boolean permits(String account, String version) {
    boolean allowed = findAccount(account).map(a -> a.allowsVersion(version)).orElse(false);
    return allowed && findVersion(version).map(ModelVersion::acceptsRequests).orElse(false);
  }

  /** Returns the same items at another version number. */
  public Configuration withVersion(long newVersion) {
    return new Configuration(newVersion, classes, accounts, versions, services);
  }
}
