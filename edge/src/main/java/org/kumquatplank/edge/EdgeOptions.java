package org.kumquatplank.edge;

import java.util.Map;
import org.kumquatplank.platform.wire.WireException;

/**
 * Settings of an instance that the project defines itself, from environment variables.
 *
 * <p>Immutable and thread-safe.
 *
 * @param learnsPace whether the pace of backend servers is learned from their responses
 */
record EdgeOptions(boolean learnsPace) {
  /** What is in force where no variable is set. */
  static final EdgeOptions DEFAULT = new EdgeOptions(false);

  private static final String LEARN_PACE = "KUMQUATPLANK_LEARN_PACE";

  /**
   * Returns the options in an environment.
   *
   * @throws WireException when a value is neither {@code true} nor {@code false}
   */
  static EdgeOptions of(Map<String, String> environment) {
    String value = environment.getOrDefault(LEARN_PACE, "false");
    return switch (value) {
      case "true" -> new EdgeOptions(true);
      case "false" -> DEFAULT;
      default -> throw new WireException(LEARN_PACE, "neither true nor false: " + value);
    };
  }
}
