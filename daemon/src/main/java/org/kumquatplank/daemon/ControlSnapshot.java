package org.kumquatplank.daemon;

import java.util.Set;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.membership.InstanceList;

/**
 * Immutable snapshot of the control state for other threads, replaced on each change.
 *
 * @param configuration configuration in force on this instance
 * @param configComplete whether it was built from the complete history of the stream
 * @param configNextOffset offset after the last applied record of the configuration stream
 * @param instances instance list last read from the platform
 * @param drainingPeers ids of the peers that reported that they are draining
 */
record ControlSnapshot(
    Configuration configuration,
    boolean configComplete,
    long configNextOffset,
    InstanceList instances,
    Set<String> drainingPeers) {
  static ControlSnapshot empty() {
    return new ControlSnapshot(Configuration.empty(), false, 0, InstanceList.empty(), Set.of());
  }
}
