package org.kumquatplank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.kumquatplank.core.config.Finding;
import org.kumquatplank.daemon.Settings.Endpoint;

/** Reads and validates the settings, reporting all errors at once with their flag or variable. */
public final class SettingsReader {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,31}");
  private static final int MIN_SECRET_LENGTH = 16;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_PARTITIONS = 1024;
  private static final int MAX_DRAIN_SECONDS = 3_600;
  private static final int MAX_ADDRESS_SECONDS = 300;
  private static final int SUFFIX_BYTES = 4;

  private final Map<Setting, String> flags;
  private final Map<String, String> environment;
  private final List<Finding> findings = new ArrayList<>();

  private SettingsReader(Map<Setting, String> flags, Map<String, String> environment) {
    this.flags = new EnumMap<>(Setting.class);
    this.flags.putAll(flags);
    this.environment = environment;
  }

  /**
   * Result of reading the settings.
   *
   * @param settings the settings, present if there are no findings
   * @param findings all errors, each with its flag or environment variable
   */
  public record Result(Optional<Settings> settings, List<Finding> findings) {}

  /** Reads the settings; a flag takes precedence over the environment variable of the same name. */
  public static Result read(Map<Setting, String> flags, Map<String, String> environment) {
    SettingsReader reader = new SettingsReader(flags, environment);
    Settings settings = reader.readAll();
    return reader.findings.isEmpty()
        ? new Result(Optional.of(settings), List.of())
        : new Result(Optional.empty(), List.copyOf(reader.findings));
  }

  private Settings readAll() {
    return new Settings(
        name(Setting.NAME) + "." + randomSuffix(),
        endpoint(Setting.LISTEN),
        endpoint(Setting.ADMIN_LISTEN),
        endpoint(Setting.PEER_LISTEN),
        endpoint(Setting.PLATFORM),
        name(Setting.FAILURE_DOMAIN),
        name(Setting.REGION),
        number(Setting.CLAIM_PARTITIONS, MAX_PARTITIONS),
        Duration.ofSeconds(number(Setting.DRAIN_SECONDS, MAX_DRAIN_SECONDS)),
        Duration.ofSeconds(number(Setting.ADDRESS_SECONDS, MAX_ADDRESS_SECONDS)),
        choice(Setting.LOG_FORMAT, "text", "json").equals("json"),
        secret(Setting.ADMIN_TOKEN_FILE, "KUMQUATPLANK_ADMIN_TOKEN"),
        secret(Setting.PEER_SECRET_FILE, "KUMQUATPLANK_PEER_SECRET"));
  }

  /** Returns a random suffix that distinguishes this process from earlier ones of the same name. */
  private static String randomSuffix() {
    byte[] bytes = new byte[SUFFIX_BYTES];
    new SecureRandom().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private String value(Setting setting) {
    String flag = flags.get(setting);
    return flag != null
        ? flag
        : environment.getOrDefault(setting.variable(), setting.defaultValue());
  }

  private void addFinding(Setting setting, String message) {
    String place = flags.containsKey(setting) ? "--" + setting.flag() : setting.variable();
    findings.add(new Finding(place, message));
  }

  private String name(Setting setting) {
    String value = value(setting);
    if (!NAME.matcher(value).matches()) {
      addFinding(setting, "must be 1 to 32 letters, digits, _ or -; got \"" + value + "\"");
    }
    return value;
  }

  private Endpoint endpoint(Setting setting) {
    String value = value(setting);
    int separator = value.lastIndexOf(':');
    if (separator > 0) {
      Optional<Integer> port = parse(value.substring(separator + 1));
      if (port.isPresent() && port.get() >= 0 && port.get() <= MAX_PORT) {
        return new Endpoint(value.substring(0, separator), port.get());
      }
    }
    addFinding(setting, "must be an IP address and a port; got \"" + value + "\"");
    return new Endpoint("", 0);
  }

  private int number(Setting setting, int max) {
    Optional<Integer> number = parse(value(setting));
    if (number.isEmpty() || number.get() < 1 || number.get() > max) {
      addFinding(setting, "must be a whole number from 1 to " + max);
      return 1;
    }
    return number.get();
  }

  private static Optional<Integer> parse(String text) {
    try {
      return Optional.of(Integer.valueOf(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private String choice(Setting setting, String... choices) {
    String value = value(setting);
    if (!List.of(choices).contains(value)) {
      addFinding(setting, "must be one of " + String.join(", ", choices));
    }
    return value;
  }

  /**
   * Reads a secret from the file that a setting names, or from the environment if it is not set.
   */
  private String secret(Setting fileSetting, String variable) {
    String path = value(fileSetting);
    if (path.isEmpty()) {
      String text = environment.getOrDefault(variable, "");
      if (text.length() < MIN_SECRET_LENGTH) {
        findings.add(
            new Finding(
                variable + " or --" + fileSetting.flag(),
                "must be a secret of " + MIN_SECRET_LENGTH + " or more characters"));
      }
      return text;
    }
    try {
      String text = Files.readString(Path.of(path)).strip();
      if (text.length() < MIN_SECRET_LENGTH) {
        addFinding(fileSetting, "file contains fewer than " + MIN_SECRET_LENGTH + " characters");
      }
      return text;
    } catch (IOException e) {
      addFinding(fileSetting, "cannot read file \"" + path + "\"");
      return "";
    }
  }
}
