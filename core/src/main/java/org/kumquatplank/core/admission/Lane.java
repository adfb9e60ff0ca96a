package org.kumquatplank.core.admission;

import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * Requests that may be placed on the same backend servers: where one finds no room, the others
 * rarely do.
 *
 * @param regions regions in which the requests may be served
 * @param repeated whether the requests were sent before, so that some servers are excluded
 * @param onTrial whether the requests go to a software version on trial
 */
record Lane(RegionRule regions, boolean repeated, boolean onTrial) {
  static Lane of(DispatchRequest request, boolean repeated, VersionRule rule) {
    return new Lane(request.regions(), repeated, !repeated && rule.isOnTrial(request));
  }
}
