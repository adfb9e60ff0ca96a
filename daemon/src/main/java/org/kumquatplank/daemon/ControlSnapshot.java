package org.kumquatplank.daemon;

import java.util.Set;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.membership.InstanceList;

/**
 * What traffic threads see of the control state: an immutable copy, replaced at each change.
 *
 * @param configuration configuration in force here
 * @param configComplete whether it rests on the whole history
 * @param configNextOffset offset after the last record of the configuration stream taken in
 * @param instances the platform's list as last read
 * @param drainingPeers identities of instances that said they are draining
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
