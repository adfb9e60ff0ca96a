package org.kumquatplank.core.config;

import java.util.List;

/** One record of the configuration stream. */
public sealed interface ConfigEntry {
  /**
   * A change. It is accepted if the configuration is at version {@code base} when the reducer
   * applies it, and is a conflict otherwise.
   *
   * @param base version that the change is based on
   * @param nonce unique identifier by which the publisher recognizes the change in the log
   * @param author name of the operator who published the change
   * @param ops the operations, in order
   */
  record Change(long base, String nonce, String author, List<ConfigOp> ops) implements ConfigEntry {
    /** Copies the list, so that the record is immutable. */
    public Change {
      ops = List.copyOf(ops);
    }
  }

  /**
   * The whole configuration as computed by one instance, for readers that start after older records
   * have passed retention.
   *
   * <p>Other changes may be appended after the configuration was computed and before the snapshot
   * is appended. A reader must therefore apply all records from {@code nextOffset} on to the
   * snapshot, including those before the snapshot itself.
   *
   * @param configuration the configuration with its version
   * @param nextOffset offset after the last record that is included in the configuration
   */
  record Snapshot(Configuration configuration, long nextOffset) implements ConfigEntry {}
}
