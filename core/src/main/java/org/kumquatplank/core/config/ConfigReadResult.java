package org.kumquatplank.core.config;

import java.util.List;
import java.util.Optional;

/**
 * The result of reading a configuration file: the configuration, or all its errors.
 *
 * @param configuration the configuration at version 0, or empty if there are findings
 * @param findings the errors, in the order in which they were found
 */
public record ConfigReadResult(Optional<Configuration> configuration, List<Finding> findings) {
  /** Copies the list, so that the record is immutable. */
  public ConfigReadResult {
    findings = List.copyOf(findings);
  }
}
