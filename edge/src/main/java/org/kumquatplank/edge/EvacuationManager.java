package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.placement.EvacuationList;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.CatalogDecoder;

/**
 * Follows the operator's orders to evacuate failure domains and to take them back.
 *
 * <p>The key of a record is the order; its value is not read. Confined to the control thread.
 */
final class EvacuationManager {
  private final EvacuationList list = EvacuationList.create();
  private boolean changed;

  /** Handles a complete listing: a failure domain that it lacks is taken back. */
  void onSnapshot(List<StoreRecord> records, String source) {
    List<String> listed = new ArrayList<>();
    for (StoreRecord record : records) {
      CatalogDecoder.evacuatedFailureDomain(record.key()).ifPresent(listed::add);
    }
    list.endUnlisted(listed)
        .forEach(domain -> onChange("evacuation_ended", domain, "listing", source));
  }

  /**
   * Handles records; those that are not about an evacuation are ignored.
   *
   * @return the evacuated failure domains if they changed since the last call
   */
  Optional<Set<String>> onChanges(List<StoreRecord> records, String source) {
    for (StoreRecord record : records) {
      CatalogDecoder.evacuatedFailureDomain(record.key())
          .ifPresent(domain -> onOrder(domain, record, source));
    }
    if (!changed) {
      return Optional.empty();
    }
    changed = false;
    return Optional.of(list.evacuated());
  }

  private void onOrder(String domain, StoreRecord record, String source) {
    boolean begins = record.value().isPresent();
    if (begins ? list.begin(domain) : list.end(domain)) {
      String event = begins ? "evacuation_begun" : "evacuation_ended";
      onChange(event, domain, record.position().toString(), source);
    }
  }

  private void onChange(String event, String domain, String position, String source) {
    changed = true;
    EdgeLog.event(event)
        .addKeyValue("failure_domain", domain)
        .addKeyValue("offset", position)
        .addKeyValue("source", source)
        .log();
  }
}
