package org.kumquatplank.core.membership;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.membership.ListedInstance.Role;

/**
 * The instance list of the platform as of the last read.
 *
 * @param instances entries of the list
 */
public record InstanceList(List<ListedInstance> instances) {
  /** Copies the list. */
  public InstanceList {
    instances = List.copyOf(instances);
  }

  /** Returns an empty list. */
  public static InstanceList empty() {
    return new InstanceList(List.of());
  }

  /** Returns the engines that serve a model version and accept new requests. */
  public List<ListedInstance> enginesServing(String version) {
    return instances.stream()
        .filter(i -> i.role() == Role.ENGINE && !i.leaving() && i.versions().contains(version))
        .toList();
  }

  /** Returns the servers of a plain service that accept new requests. */
  public List<ListedInstance> serversOf(String service) {
    return instances.stream()
        .filter(i -> i.role() == Role.SERVICE && !i.leaving() && i.service().equals(service))
        .toList();
  }

  /** Returns all instances of the router, including those that are draining. */
  public List<ListedInstance> entries() {
    return instances.stream().filter(i -> i.role() == Role.ENTRY).toList();
  }

  /** Returns the entry with the given id, or nothing. */
  public Optional<ListedInstance> find(String id) {
    return instances.stream().filter(i -> i.id().equals(id)).findFirst();
  }

  /** Returns whether the process with the given id is listed and accepts new requests. */
  public boolean acceptsRequests(String id) {
    return find(id).map(i -> !i.leaving()).orElse(false);
  }
}
