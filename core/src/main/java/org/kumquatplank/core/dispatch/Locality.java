package org.kumquatplank.core.dispatch;

import java.util.Map;

/**
 * Where this instance stands, and how far it is to a failure domain.
 *
 * <p>Immutable and thread-safe.
 *
 * @param zone failure domain of this instance
 * @param regions region of each failure domain
 */
public record Locality(String zone, Map<String, String> regions) {
  /** How far a backend server is. */
  public enum Distance {
    /** In the same failure domain. */
    SAME_ZONE,
    /** In another failure domain of the region. */
    SAME_REGION,
    /** In another region, behind a slow and narrow link. */
    OTHER_REGION
  }

  /** Copies the map. */
  public Locality {
    regions = Map.copyOf(regions);
  }

  /** Returns how far a failure domain is. */
  public Distance to(String other) {
    if (zone.equals(other)) {
      return Distance.SAME_ZONE;
    }
    String own = regions.getOrDefault(zone, "");
    return own.equals(regions.getOrDefault(other, "?"))
        ? Distance.SAME_REGION
        : Distance.OTHER_REGION;
  }
}
