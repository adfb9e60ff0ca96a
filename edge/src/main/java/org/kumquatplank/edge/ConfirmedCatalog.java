package org.kumquatplank.edge;

import java.util.Optional;
import org.kumquatplank.core.catalog.Catalog;

/**
 * The configuration of this instance, and when the store last confirmed it.
 *
 * <p>Confined to the traffic thread.
 */
final class ConfirmedCatalog {
  private static final long MICROS_PER_MILLI = 1_000;

  private final long maxAgeMicros;
  private Optional<Catalog> catalog = Optional.empty();
  private long confirmedAt = Clock.micros();

  private ConfirmedCatalog(long maxAgeMicros) {
    this.maxAgeMicros = maxAgeMicros;
  }

  /**
   * Returns the state of an instance that has no configuration yet.
   *
   * @param propagationMillis time within which a configuration takes effect, milliseconds
   */
  static ConfirmedCatalog create(long propagationMillis) {
    return new ConfirmedCatalog(propagationMillis * MICROS_PER_MILLI);
  }

  Optional<Catalog> catalog() {
    return catalog;
  }

  void set(Catalog newCatalog) {
    catalog = Optional.of(newCatalog);
  }

  void setConfirmedAt(long at) {
    confirmedAt = at;
  }

  /** Returns the time since the store last confirmed the configuration, microseconds. */
  long ageMicros(long now) {
    return now - confirmedAt;
  }

  /** Returns whether a newer configuration may be in force without this instance knowing it. */
  boolean isOutdated(long now) {
    return ageMicros(now) > maxAgeMicros;
  }
}
