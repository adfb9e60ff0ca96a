package org.kumquatplank.edge;

import java.util.Arrays;
import java.util.Optional;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.RestoreGuard;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.CatalogDecoder;

/** The records of the operator: the configuration, roll-out orders and evacuations. */
final class OperatorRecordType implements RestoreGuard.RecordType<StoreRecord> {
  @Override
  public String key(StoreRecord record) {
    return record.key();
  }

  @Override
  public boolean isDeletion(StoreRecord record) {
    return record.value().isEmpty();
  }

  @Override
  public boolean hasSameValue(StoreRecord first, StoreRecord second) {
    return Arrays.equals(first.value().orElseThrow(), second.value().orElseThrow());
  }

  /** The configuration has a version, and an older one is not taken over. */
  @Override
  public boolean isVersioned(StoreRecord record) {
    return record.key().equals(CatalogDecoder.CATALOG_KEY);
  }

  @Override
  public StoreRecord deletion(String key, LogPosition position) {
    return new StoreRecord(position, key, Optional.empty());
  }
}
