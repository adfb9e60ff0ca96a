package org.kumquatplank.core.admission;

import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.dispatch.DispatchRequest;

/**
 * Requests that may be placed on the same backend servers: where one finds no room, the others
 * rarely do.
 *
 * @param regions regions in which the requests may be served
 * @param repeated whether the requests were sent before, so that some servers are excluded
 */
record Lane(RegionRule regions, boolean repeated) {
  static Lane of(DispatchRequest request, boolean repeated) {
    return new Lane(request.regions(), repeated);
  }
}
