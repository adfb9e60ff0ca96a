package org.kumquatplank.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** One operation of a configuration change. */
public sealed interface ConfigOp {
  /**
   * Adds an item, or replaces the item of the same kind and name.
   *
   * @param item the new item
   */
  record Put(Named item) implements ConfigOp {}

  /**
   * Removes an item; has no effect if the item does not exist.
   *
   * @param kind kind of the item
   * @param name name of the item
   */
  record Remove(Kind kind, String name) implements ConfigOp {}

  /** The kinds of configuration items. */
  enum Kind {
    CLASS,
    ACCOUNT,
    VERSION,
    SERVICE
  }

  /** Returns the configuration after the operations, with an unchanged version number. */
  static Configuration apply(Configuration base, List<ConfigOp> ops) {
    var classes = new TreeMap<>(base.classes());
    var accounts = new TreeMap<>(base.accounts());
    var versions = new TreeMap<>(base.versions());
    var services = new TreeMap<>(base.services());
    for (ConfigOp op : ops) {
      switch (op) {
        case Put(WorkClass c) -> classes.put(c.name(), c);
        case Put(ClientAccount a) -> accounts.put(a.name(), a);
        case Put(ModelVersion v) -> versions.put(v.name(), v);
        case Put(PlainService s) -> services.put(s.name(), s);
        case Remove(Kind kind, String name) -> {
          var items =
              switch (kind) {
                case CLASS -> classes;
                case ACCOUNT -> accounts;
                case VERSION -> versions;
                case SERVICE -> services;
              };
          items.remove(name);
        }
      }
    }
    return new Configuration(base.version(), classes, accounts, versions, services);
  }

  /** Returns the operations that turn {@code from} into {@code to}. */
  static List<ConfigOp> diff(Configuration from, Configuration to) {
    List<ConfigOp> ops = new ArrayList<>();
    addDifference(ops, Kind.CLASS, from.classes(), to.classes());
    addDifference(ops, Kind.ACCOUNT, from.accounts(), to.accounts());
    addDifference(ops, Kind.VERSION, from.versions(), to.versions());
    addDifference(ops, Kind.SERVICE, from.services(), to.services());
    return ops;
  }

  private static <T extends Named> void addDifference(
      List<ConfigOp> ops, Kind kind, SortedMap<String, T> from, SortedMap<String, T> to) {
    for (String name : from.keySet()) {
      if (!to.containsKey(name)) {
        ops.add(new Remove(kind, name));
      }
    }
    for (T item : to.values()) {
      if (!item.equals(from.get(item.name()))) {
        ops.add(new Put(item));
      }
    }
  }
}
