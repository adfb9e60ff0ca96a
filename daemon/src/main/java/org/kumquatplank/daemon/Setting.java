package org.kumquatplank.daemon;

import java.util.Locale;
import java.util.Optional;

/** Settings of the daemon, each with its flag, environment variable, default and description. */
public enum Setting {
  NAME("instance", "text", "name of this instance; a random suffix makes each process distinct"),
  LISTEN("127.0.0.1:7100", "address:port", "listen address for callers"),
  ADMIN_LISTEN("127.0.0.1:7200", "address:port", "listen address for operators"),
  PEER_LISTEN("127.0.0.1:7300", "address:port", "listen address for peers"),
  PLATFORM("127.0.0.1:7000", "address:port", "address of the platform's services"),
  FAILURE_DOMAIN("default", "text", "failure domain of this instance"),
  REGION("default", "text", "region of this instance"),
  CLAIM_PARTITIONS("16", "1 to 1024", "number of claim streams; must be the same on all instances"),
  DRAIN_SECONDS("60", "seconds, 1 to 3600", "maximum duration of a graceful shutdown"),
  ADDRESS_SECONDS(
      "5", "seconds, 1 to 300", "time for which callers may cache the list of addresses"),
  LOG_FORMAT("text", "text or json", "format of the log lines"),
  ADMIN_TOKEN_FILE("", "path", "file that contains the operators' credential"),
  PEER_SECRET_FILE("", "path", "file that contains the secret shared by all instances");

  private final String defaultValue;
  private final String format;
  private final String description;

  Setting(String defaultValue, String format, String description) {
    this.defaultValue = defaultValue;
    this.format = format;
    this.description = description;
  }

  /** Returns the flag without the leading dashes. */
  public String flag() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the name of the environment variable. */
  public String variable() {
    return "KUMQUATPLANK_" + name();
  }

  /** Returns the default value, or the empty string if there is none. */
  public String defaultValue() {
    return defaultValue;
  }

  /** Returns the unit and range, or the format of the value. */
  public String format() {
    return format;
  }

  /** Returns the description of the setting. */
  public String description() {
    return description;
  }

  /** Returns the setting that has the given flag, or empty if there is none. */
  public static Optional<Setting> ofFlag(String flag) {
    for (Setting setting : values()) {
      if (setting.flag().equals(flag)) {
        return Optional.of(setting);
      }
    }
    return Optional.empty();
  }
}
