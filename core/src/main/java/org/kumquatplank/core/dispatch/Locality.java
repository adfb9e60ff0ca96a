package org.kumquatplank.core.dispatch;

import java.util.Map;

/**
 * Location of this instance and its network distance to other failure domains.
 *
 * <p>Immutable and thread-safe.
 *
 * @param failureDomain failure domain of this instance
 * @param regionByFailureDomain region of each failure domain
 */
public record Locality(String failureDomain, Map<String, String> regionByFailureDomain) {
  /** Network distance to a backend server. */
  public enum Distance {
    /** In the same failure domain. */
    SAME_ZONE,
    /** In another failure domain of the region. */
    SAME_REGION,
    /** In another region, over a link of high latency and low bandwidth. */
    OTHER_REGION
  }

  /** Copies the map. */
  public Locality {
    regionByFailureDomain = Map.copyOf(regionByFailureDomain);
  }

  /** Returns the distance to a failure domain. */
  public Distance distanceTo(String other) {
    if (failureDomain.equals(other)) {
      return Distance.SAME_ZONE;
    }
    String region = regionByFailureDomain.getOrDefault(failureDomain, "");
    return region.equals(regionByFailureDomain.getOrDefault(other, "?"))
        ? Distance.SAME_REGION
        : Distance.OTHER_REGION;
  }
}
