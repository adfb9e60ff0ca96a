package org.kumquatplank.core.config;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Serializes records of the configuration stream to and from JSON.
 *
 * <p>Stateless and thread-safe.
 *
 * <pre>{@code
 * String text = ConfigCodec.toJson(entry);
 * ConfigEntry same = ConfigCodec.fromJson(text).orElseThrow();
 * }</pre>
 */
public final class ConfigCodec {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final Gson PRETTY_GSON =
      new GsonBuilder().disableHtmlEscaping().setPrettyPrinting().create();

  private ConfigCodec() {}

  /** Returns the entry as one line of JSON. */
  public static String toJson(ConfigEntry entry) {
    return GSON.toJson(EntryShape.of(entry));
  }

  /** Returns the entry, or empty if the text is not an entry of the configuration stream. */
  public static Optional<ConfigEntry> fromJson(String text) {
    try {
      return Optional.ofNullable(GSON.fromJson(text, EntryShape.class)).map(EntryShape::toEntry);
    } catch (RuntimeException e) {
      // Gson wraps the exceptions of record constructors in plain runtime exceptions.
      return Optional.empty();
    }
  }

  /** Returns the configuration as indented JSON, in the format of a configuration file. */
  public static String toDocument(Configuration configuration) {
    return PRETTY_GSON.toJson(DocumentShape.of(configuration));
  }

  /** Returns the operations as JSON, for requests to publish a change. */
  public static String opsToJson(List<ConfigOp> ops) {
    return GSON.toJson(ops.stream().map(OpShape::of).toList());
  }

  /**
   * Returns the operations read from JSON.
   *
   * @throws JsonParseException if the text is not a list of operations
   */
  public static List<ConfigOp> opsFromJson(String text) {
    try {
      return Arrays.stream(GSON.fromJson(text, OpShape[].class)).map(OpShape::toOp).toList();
    } catch (RuntimeException e) {
      // Gson wraps the exceptions of record constructors in plain runtime exceptions.
      throw new JsonParseException("a JSON list of operations is expected", e);
    }
  }

  /** The JSON form of an entry; only the fields of a change or those of a snapshot are present. */
  private record EntryShape(
      Long base,
      String nonce,
      String author,
      List<OpShape> ops,
      Long version,
      Long nextOffset,
      DocumentShape document) {
    static EntryShape of(ConfigEntry entry) {
      return switch (entry) {
        case ConfigEntry.Change(long base, String nonce, String author, List<ConfigOp> ops) ->
            new EntryShape(
                base, nonce, author, ops.stream().map(OpShape::of).toList(), null, null, null);
        case ConfigEntry.Snapshot(Configuration configuration, long nextOffset) ->
            new EntryShape(
                null,
                null,
                null,
                null,
                configuration.version(),
                nextOffset,
                DocumentShape.of(configuration));
      };
    }

    ConfigEntry toEntry() {
      if (document != null) {
        return new ConfigEntry.Snapshot(document.toConfiguration(version), nextOffset);
      }
      return new ConfigEntry.Change(base, nonce, author, ops.stream().map(OpShape::toOp).toList());
    }
  }

  /** The JSON form of one operation; exactly one field is present. */
  private record OpShape(
      WorkClass workClass,
      ClientAccount account,
      ModelVersion version,
      PlainService service,
      ConfigOp.Remove remove) {
    static OpShape of(ConfigOp op) {
      return switch (op) {
        case ConfigOp.Put(WorkClass c) -> new OpShape(c, null, null, null, null);
        case ConfigOp.Put(ClientAccount a) -> new OpShape(null, a, null, null, null);
        case ConfigOp.Put(ModelVersion v) -> new OpShape(null, null, v, null, null);
        case ConfigOp.Put(PlainService s) -> new OpShape(null, null, null, s, null);
        case ConfigOp.Remove r -> new OpShape(null, null, null, null, r);
      };
    }

    ConfigOp toOp() {
      if (remove != null && remove.kind() != null && remove.name() != null) {
        return remove;
      }
      Named item = workClass;
      if (account != null) {
        item = account;
      } else if (version != null) {
        item = version;
      } else if (service != null) {
        item = service;
      }
      if (item == null || item.name() == null) {
        throw new JsonParseException("an operation must contain an item with a name");
      }
      return new ConfigOp.Put(item);
    }
  }

  /** The JSON form of a whole configuration. */
  private record DocumentShape(
      List<WorkClass> classes,
      List<ClientAccount> accounts,
      List<ModelVersion> versions,
      List<PlainService> services) {
    static DocumentShape of(Configuration configuration) {
      return new DocumentShape(
          List.copyOf(configuration.classes().values()),
          List.copyOf(configuration.accounts().values()),
          List.copyOf(configuration.versions().values()),
          List.copyOf(configuration.services().values()));
    }

    Configuration toConfiguration(long version) {
      return Configuration.of(version, classes, accounts, versions, services);
    }
  }
}
