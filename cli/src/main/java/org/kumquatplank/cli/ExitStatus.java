package org.kumquatplank.cli;

/** The exit statuses of the tool, for use in scripts. */
final class ExitStatus {
  /** Success. */
  static final int DONE = 0;

  /** Rejected or failed; standard error has the reason. */
  static final int FAILED = 1;

  /** Invalid flags, settings or file. */
  static final int USAGE = 2;

  /** Logged, but not in force on all instances before the timeout. */
  static final int PENDING = 3;

  private ExitStatus() {}
}
