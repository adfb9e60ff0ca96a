package org.kumquatplank.core.catalog;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Rule for the regions in which requests may be served, cached and stored. */
public sealed interface RegionRule {
  /** Permits every region. */
  record Anywhere() implements RegionRule {}

  /**
   * Permits only some regions.
   *
   * @param regions permitted regions; if empty, no region is permitted
   */
  record Only(Set<String> regions) implements RegionRule {
    /** Copies the regions. */
    public Only {
      regions = Set.copyOf(regions);
    }

    private RegionRule intersect(RegionRule other) {
      Set<String> both = new HashSet<>(regions);
      both.removeIf(region -> !other.permits(region));
      return new Only(both);
    }
  }

  /** Returns the rule of a configured list of regions; an empty list permits every region. */
  static RegionRule of(Collection<String> allowedRegions) {
    return allowedRegions.isEmpty() ? new Anywhere() : new Only(Set.copyOf(allowedRegions));
  }

  /** Returns whether the rule permits a region. */
  default boolean permits(String region) {
    return switch (this) {
      case Anywhere anywhere -> true;
      case Only only -> only.regions().contains(region);
    };
  }

  /** Returns the rule that permits a region only if both rules do. */
  default RegionRule and(RegionRule other) {
    return switch (this) {
      case Anywhere anywhere -> other;
      case Only only -> only.intersect(other);
    };
  }
}
