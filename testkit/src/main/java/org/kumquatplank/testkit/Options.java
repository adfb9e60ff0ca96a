package org.kumquatplank.testkit;

import java.util.Optional;

/** Command-line options of the form {@code --name value}. Immutable and thread-safe. */
final class Options {
  private final String[] args;

  Options(String[] args) {
    this.args = args.clone();
  }

  Optional<String> find(String name) {
    for (int i = 0; i + 1 < args.length; i++) {
      if (args[i].equals("--" + name)) {
        return Optional.of(args[i + 1]);
      }
    }
    return Optional.empty();
  }

  String getString(String name, String defaultValue) {
    return find(name).orElse(defaultValue);
  }

  int getInt(String name, int defaultValue) {
    return find(name).map(Integer::valueOf).orElse(defaultValue);
  }

  boolean has(String name) {
    for (String arg : args) {
      if (arg.equals("--" + name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the host of a {@code host:port} address. */
  static String hostOf(String endpoint) {
    return endpoint.substring(0, endpoint.lastIndexOf(':'));
  }

  /** Returns the port of a {@code host:port} address. */
  static int portOf(String endpoint) {
    return Integer.parseInt(endpoint.substring(endpoint.lastIndexOf(':') + 1));
  }
}
