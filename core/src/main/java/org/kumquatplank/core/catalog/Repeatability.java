package org.kumquatplank.core.catalog;

/** How often one request may run. */
public enum Repeatability {
  /** May run any number of times. */
  IDEMPOTENT,
  /** A stream that another backend server may go on with after the last event passed on. */
  RESUMABLE,
  /** May run once at most. */
  ONCE
}
