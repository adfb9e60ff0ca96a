package org.kumquatplank.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains that the operator evacuates, by the records of the orders.
 *
 * <p>Answers orders that reach an instance late, more than once, or only as the absence of a record
 * from a listing. An order applies to its failure domain alone, so that a second evacuation or its
 * end leaves the first in force. Not thread-safe.
 */
public final class EvacuationList {
  private final Set<String> failureDomains = new TreeSet<>();

  private EvacuationList() {}

  /** Returns an empty list. */
  public static EvacuationList create() {
    return new EvacuationList();
  }

  /** Applies the order to evacuate a failure domain; returns whether it begins an evacuation. */
  public boolean begin(String failureDomain) {
    return failureDomains.add(failureDomain);
  }

  /** Applies the order to take a failure domain back; returns whether it ends an evacuation. */
  public boolean end(String failureDomain) {
    return failureDomains.remove(failureDomain);
  }

  /**
   * Ends the evacuation of all failure domains that a complete listing of the orders lacks.
   *
   * @return the failure domains that are taken back
   */
  public List<String> endUnlisted(Collection<String> listed) {
    List<String> ended = new ArrayList<>(failureDomains);
    ended.removeAll(listed);
    ended.forEach(failureDomains::remove);
    return ended;
  }

  /** Returns the evacuated failure domains. */
  public Set<String> evacuated() {
    return Set.copyOf(failureDomains);
  }
}
